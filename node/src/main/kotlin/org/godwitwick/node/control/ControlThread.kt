package org.godwitwick.node.control

import org.slf4j.LoggerFactory
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit

/**
 * The single thread that owns the mutable control state of an instance. Tasks on it must not block.
 *
 * @property onDelayNanos called with the time in nanoseconds that each command or query waited in the queue.
 */
class ControlThread(private val onDelayNanos: (Long) -> Unit = {}) : AutoCloseable {
    private val executor = ScheduledThreadPoolExecutor(1) { task -> Thread(task, "control").apply { isDaemon = true } }

    /** Queues [command] for the control thread and returns without waiting. */
    fun post(command: () -> Unit) {
        val postedNanos = System.nanoTime()
        executor.execute {
            onDelayNanos(System.nanoTime() - postedNanos)
            runLoggingFailure(command)
        }
    }

    /** Runs [query] on the control thread and returns a future of its result. */
    fun <T> ask(query: () -> T): CompletableFuture<T> {
        val postedNanos = System.nanoTime()
        return CompletableFuture.supplyAsync({
            onDelayNanos(System.nanoTime() - postedNanos)
            query()
        }, executor)
    }

    /** Runs [command] repeatedly, with [periodMs] between the end of one run and the start of the next. */
    fun every(periodMs: Long, command: () -> Unit) {
        executor.scheduleWithFixedDelay({ runLoggingFailure(command) }, periodMs, periodMs, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        executor.shutdownNow()
    }

    // The executor cancels a periodic task that throws, so exceptions are caught and logged here.
    private fun runLoggingFailure(command: () -> Unit) {
        try {
            command()
        } catch (e: RuntimeException) {
            log.error("control: task failed", e)
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger(ControlThread::class.java)
    }
}
