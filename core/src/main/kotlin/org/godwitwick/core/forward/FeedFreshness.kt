package org.godwitwick.core.forward

/**
 * Transfers the time at which a feed was last proven to be up to date from one instance (the reader) to another (the follower),
 * without comparing their clocks.
 *
 * The reader reports its lead, the time from the arrival of the request to the proven time; if its two clocks disagree, it takes
 * the smaller value. The follower adds the lead to the time at which it sent the request. The request was sent before it arrived,
 * so the result is never later than the reader's proven time. Clock differences, delayed messages and suspended processes can
 * only make the result earlier.
 */
object FeedFreshness {
    /** Time from [requestAt] to [provenAt] in milliseconds, both read by the reader; negative if [provenAt] is earlier. */
    fun leadMs(provenAt: ClockReading, requestAt: ClockReading): Long =
        minOf(provenAt.steadyMs - requestAt.steadyMs, provenAt.wallMs - requestAt.wallMs)

    /** Time, on the follower's clocks, that is proven by an answer with [leadMs] to a request sent at [askedAt]. */
    fun provenAt(askedAt: ClockReading, leadMs: Long): ClockReading =
        ClockReading(askedAt.steadyMs + leadMs, askedAt.wallMs + leadMs)
}
