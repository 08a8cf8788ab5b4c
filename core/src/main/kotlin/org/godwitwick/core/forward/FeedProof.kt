package org.godwitwick.core.forward

/**
 * Passes on the moment at which knowledge was known to be the newest from one instance to another, whose clocks have nothing in common.
 *
 * The reader states how much its proven moment lies after the arrival of the question, in doubt too little; the follower adds that to
 * the moment at which it asked. The question arrived later than that, so the result is never younger than the reader's proven moment:
 * clocks that differ, messages that are late and processes that are frozen can only make it older.
 */
object FeedProof {
    /** Time by which [provenAt] lies after [questionAt], both read by the reader; negative when it lies before. */
    fun leadMs(provenAt: ClockReading, questionAt: ClockReading): Long =
        minOf(provenAt.steadyMs - questionAt.steadyMs, provenAt.wallMs - questionAt.wallMs)

    /** The moment that is proven by an answer with [leadMs] to a question asked at [askedAt]. */
    fun provenAt(askedAt: ClockReading, leadMs: Long): ClockReading =
        ClockReading(askedAt.steadyMs + leadMs, askedAt.wallMs + leadMs)
}
