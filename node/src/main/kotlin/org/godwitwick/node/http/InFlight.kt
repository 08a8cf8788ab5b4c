package org.godwitwick.node.http

import org.godwitwick.core.model.Deadline

/** Counts the exchanges between the arrival of their header and the last byte of their answer. */
class InFlight {
    private val lock = Object()
    private var entered = 0
    private var latestDeadlineMs = 0L

    /** Exchanges in flight now. */
    val count: Int get() = synchronized(lock) { entered }

    /** Counts an exchange in. */
    fun enter() = synchronized(lock) { entered++ }

    /** Counts an exchange out. */
    fun leave() = synchronized(lock) {
        entered--
        lock.notifyAll()
    }

    /** Notes that an exchange in flight may last until [deadline]. */
    fun extendTo(deadline: Deadline) = synchronized(lock) { latestDeadlineMs = maxOf(latestDeadlineMs, deadline.atMs) }

    /**
     * Waits until no exchange is in flight, at the longest until [graceMs] after the latest deadline of those that were admitted, and
     * never longer than [limitMs].
     * Returns the number of exchanges that are left.
     */
    fun awaitNone(nowMs: () -> Long, graceMs: Long, limitMs: Long = Long.MAX_VALUE): Int = synchronized(lock) {
        val startedMs = nowMs()
        while (entered > 0) {
            val spentMs = nowMs() - startedMs
            val leftMs = minOf(maxOf(latestDeadlineMs - startedMs, 0) + graceMs, limitMs) - spentMs
            if (leftMs <= 0) break
            lock.wait(leftMs)
        }
        entered
    }
}
