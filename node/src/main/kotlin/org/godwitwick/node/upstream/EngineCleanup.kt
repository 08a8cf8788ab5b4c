package org.godwitwick.node.upstream

import com.github.michaelbull.result.Result
import org.slf4j.LoggerFactory
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit

/**
 * Cancels work and releases holds in the background. Both operations are idempotent, so a failed attempt is retried with
 * increasing delays. [ReplicaWatcher] releases the holds that remain after the last attempt.
 */
class EngineCleanup(private val engines: EngineClient, private val counters: UpstreamCounters) : AutoCloseable {
    private val executor = ScheduledThreadPoolExecutor(THREADS) { Thread(it, "engine-cleanup").apply { isDaemon = true } }

    /** Cancels [requestId] at the engine at [address]. */
    fun cancel(address: String, requestId: String) = scheduleAttempt(1) { engines.cancel(address, requestId, TIMEOUT_MS) }

    /** Releases [holdId] at the engine at [address]. */
    fun release(address: String, holdId: String) = scheduleAttempt(1) { engines.release(address, holdId, TIMEOUT_MS) }

    private fun scheduleAttempt(number: Int, action: () -> Result<Unit, EngineFailure>) {
        val delayMs = if (number == 1) 0 else BASE_DELAY_MS shl number
        try {
            executor.schedule({ run(number, action) }, delayMs, TimeUnit.MILLISECONDS)
        } catch (_: RejectedExecutionException) {
            counters.lostCleanups.increment()
        }
    }

    private fun run(number: Int, action: () -> Result<Unit, EngineFailure>) {
        val failure = action().component2() ?: return
        if (number < MAX_ATTEMPTS) return scheduleAttempt(number + 1, action)
        counters.lostCleanups.increment()
        log.debug("engine: cleanup failed after the last attempt: {}", failure.message)
    }

    override fun close() {
        executor.shutdownNow()
    }

    private companion object {
        val log = LoggerFactory.getLogger(EngineCleanup::class.java)
        const val THREADS = 4
        const val TIMEOUT_MS = 1_000L
        const val BASE_DELAY_MS = 25L
        const val MAX_ATTEMPTS = 4
    }
}
