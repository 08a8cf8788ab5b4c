package org.godwitwick.node.http

import org.godwitwick.node.control.OnDemandTimer
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/**
 * Interrupts blocking reads from and writes to callers that take longer than [timeoutMs], because a stalled caller would
 * otherwise block a thread forever.
 *
 * Undertow's write timeout is no substitute: it also counts the time between two writes, so it would disconnect callers whose
 * engine is slow.
 */
class BlockingWatchdog(private val timeoutMs: Long) : AutoCloseable {
    private class Operation(val thread: Thread, val startedNanos: Long) {
        private var isDone = false
        private var isInterrupted = false

        fun interruptAfter(timeoutNanos: Long, nowNanos: Long) = synchronized(this) {
            if (isDone || isInterrupted || nowNanos - startedNanos < timeoutNanos) return@synchronized
            isInterrupted = true
            thread.interrupt()
        }

        // Clears an interrupt that came too late to stop the operation, because the thread returns to its pool.
        fun end() = synchronized(this) {
            isDone = true
            if (isInterrupted) Thread.interrupted()
        }
    }

    private val operations = ConcurrentHashMap.newKeySet<Operation>()
    private val timer = OnDemandTimer(
        "blocking-watchdog",
        (timeoutMs / CHECKS_PER_TIMEOUT).coerceAtLeast(1),
        operations::isNotEmpty,
        ::check,
    )

    /**
     * Runs [operation] on the calling thread; interrupts it if it takes longer than [timeoutMs], plus up to an eighth of that.
     */
    fun <T> runWithTimeout(operation: () -> T): T {
        val entry = Operation(Thread.currentThread(), System.nanoTime())
        operations.add(entry)
        timer.wake()
        try {
            return operation()
        } finally {
            entry.end()
            operations.remove(entry)
        }
    }

    private fun check() {
        val nowNanos = System.nanoTime()
        operations.forEach { it.interruptAfter(TimeUnit.MILLISECONDS.toNanos(timeoutMs), nowNanos) }
    }

    override fun close() {
        timer.close()
    }

    private companion object {
        const val CHECKS_PER_TIMEOUT = 8
    }
}
