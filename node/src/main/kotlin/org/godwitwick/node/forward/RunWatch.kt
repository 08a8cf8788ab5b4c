package org.godwitwick.node.forward

import org.godwitwick.node.control.OnDemandTimer
import java.util.concurrent.ConcurrentHashMap

/** Periodically checks the guards of all requests in flight, on one thread. */
class RunWatch(private val nowMs: () -> Long) : AutoCloseable {
    private val guards = ConcurrentHashMap.newKeySet<RunGuard>()
    private val relayed = ConcurrentHashMap.newKeySet<RunGuard>()
    private val timer = OnDemandTimer("run-watch", PERIOD_MS, guards::isNotEmpty, ::check)

    /** Number of requests in flight. */
    val count: Int get() = guards.size

    /** Number of requests in flight that came through another instance. */
    val relayedCount: Int get() = relayed.size

    /** Starts to check [guard], until [remove]; [isRelayed] tells whether its request came through another instance. */
    fun add(guard: RunGuard, isRelayed: Boolean) {
        if (isRelayed) relayed.add(guard)
        guards.add(guard)
        timer.wake()
    }

    /** Stops checking [guard]. */
    fun remove(guard: RunGuard) {
        guards.remove(guard)
        relayed.remove(guard)
    }

    /** Cancels all requests in flight because the process is about to end. */
    fun cancelAll() = guards.forEach { it.onStopping() }

    private fun check() {
        val nowMs = nowMs()
        guards.forEach { it.check(nowMs) }
    }

    override fun close() {
        timer.close()
    }

    private companion object {
        /** Well below the 250 ms by which a request may exceed its deadline. */
        const val PERIOD_MS = 50L
    }
}
