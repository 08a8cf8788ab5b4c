package org.godwitwick.node.forward

import org.godwitwick.node.control.OnDemandTimer
import java.util.concurrent.ConcurrentHashMap

/** Checks the guards of all requests in flight from one thread. */
class RunWatch(private val nowMs: () -> Long) : AutoCloseable {
    private val guards = ConcurrentHashMap.newKeySet<RunGuard>()
    private val timer = OnDemandTimer("run-watch", PERIOD_MS, guards::isNotEmpty, ::check)

    /** Requests in flight. */
    val count: Int get() = guards.size

    /** Checks [guard] until it is removed. */
    fun add(guard: RunGuard) {
        guards.add(guard)
        timer.wake()
    }

    /** Ends the checks of [guard]. */
    fun remove(guard: RunGuard) {
        guards.remove(guard)
    }

    private fun check() {
        val nowMs = nowMs()
        guards.forEach { it.check(nowMs) }
    }

    override fun close() {
        timer.close()
    }

    private companion object {
        /** Well below the quarter second by which a request may outlast its time. */
        const val PERIOD_MS = 50L
    }
}
