package org.godwitwick.node.forward

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Checks the guards of all requests in flight from one thread. */
class RunWatch(private val nowMs: () -> Long) : AutoCloseable {
    private val guards = ConcurrentHashMap.newKeySet<RunGuard>()
    private val timer = Executors.newSingleThreadScheduledExecutor { Thread(it, "run-watch").apply { isDaemon = true } }

    init {
        timer.scheduleWithFixedDelay(::check, PERIOD_MS, PERIOD_MS, TimeUnit.MILLISECONDS)
    }

    /** Requests in flight. */
    val count: Int get() = guards.size

    /** Checks [guard] until it is removed. */
    fun add(guard: RunGuard) {
        guards.add(guard)
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
        timer.shutdownNow()
    }

    private companion object {
        /** Well below the quarter second by which a request may outlast its time. */
        const val PERIOD_MS = 50L
    }
}
