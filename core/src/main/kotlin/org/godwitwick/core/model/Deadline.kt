package org.godwitwick.core.model

/** The one point in time by which an admitted request has ended, in milliseconds on the caller's present-time scale. */
@JvmInline
value class Deadline(val atMs: Long) {
    /** Milliseconds left at [nowMs]; zero once the deadline has passed. */
    fun remainingMs(nowMs: Long): Long = (atMs - nowMs).coerceAtLeast(0)

    /** Whether the deadline has passed at [nowMs]. */
    fun isPast(nowMs: Long): Boolean = nowMs >= atMs
}
