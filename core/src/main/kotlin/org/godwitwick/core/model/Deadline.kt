package org.godwitwick.core.model

/** The time by which an admitted request must have ended, in milliseconds on the clock that the caller passes as `nowMs`. */
@JvmInline
value class Deadline(val atMs: Long) {
    /** Milliseconds remaining at [nowMs]; zero once the deadline has passed. */
    fun remainingMs(nowMs: Long): Long = (atMs - nowMs).coerceAtLeast(0)

    /** Whether the deadline has passed at [nowMs]. */
    fun isPast(nowMs: Long): Boolean = nowMs >= atMs
}
