package org.godwitwick.node.control

import org.slf4j.LoggerFactory
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit

/**
 * The single thread that owns an instance's mutable control state. Work on it must not block.
 *
 * @property onDelayNanos told how long each command or query waited for the thread.
 */
class ControlThread(private val onDelayNanos: (Long) -> Unit = {}) : AutoCloseable {
    private val executor = ScheduledThreadPoolExecutor(1) { task -> Thread(task, "control").apply { isDaemon = true } }

    /** Runs [command] on the control thread without waiting. */
    fun post(command: () -> Unit) {
        val postedNanos = System.nanoTime()
        executor.execute {
            onDelayNanos(System.nanoTime() - postedNanos)
            guarded(command)
        }
    }

    /** Runs [query] on the control thread and returns a future of its value. */
    fun <T> ask(query: () -> T): CompletableFuture<T> {
        val postedNanos = System.nanoTime()
        return CompletableFuture.supplyAsync({
            onDelayNanos(System.nanoTime() - postedNanos)
            query()
        }, executor)
    }

    /** Runs [command] every [periodMs] milliseconds, measured from end to start. */
    fun every(periodMs: Long, command: () -> Unit) {
        executor.scheduleWithFixedDelay({ guarded(command) }, periodMs, periodMs, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        executor.shutdownNow()
    }

    // A scheduled task that throws is never run again, so a failure is logged and kept inside the task.
    private fun guarded(command: () -> Unit) {
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
