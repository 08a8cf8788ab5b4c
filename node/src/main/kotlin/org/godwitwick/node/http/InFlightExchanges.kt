package org.godwitwick.node.http

import org.godwitwick.core.model.Deadline

/** Counts exchanges from the arrival of the request header to the last byte of the answer, and waits for them to end. */
class InFlightExchanges {
    private val lock = Object()
    private var active = 0
    private var latestDeadlineMs = 0L

    /** Number of exchanges in flight. */
    val count: Int get() = synchronized(lock) { active }

    /** Adds one exchange. */
    fun add() = synchronized(lock) { active++ }

    /** Removes one exchange. */
    fun remove() = synchronized(lock) {
        active--
        lock.notifyAll()
    }

    /** Extends the wait of [awaitNone] to cover an exchange that may last until [deadline]. */
    fun extendDeadline(deadline: Deadline) = synchronized(lock) { latestDeadlineMs = maxOf(latestDeadlineMs, deadline.atMs) }

    /**
     * Waits until no exchange is in flight, but no longer than [graceMs] after the latest deadline given to [extendDeadline], and
     * no longer than [limitMs] in total. Returns the number of exchanges still in flight.
     */
    fun awaitNone(nowMs: () -> Long, graceMs: Long, limitMs: Long = Long.MAX_VALUE): Int = synchronized(lock) {
        val startedMs = nowMs()
        while (active > 0) {
            val elapsedMs = nowMs() - startedMs
            val remainingMs = minOf(maxOf(latestDeadlineMs - startedMs, 0) + graceMs, limitMs) - elapsedMs
            if (remainingMs <= 0) break
            lock.wait(remainingMs)
        }
        active
    }
}
