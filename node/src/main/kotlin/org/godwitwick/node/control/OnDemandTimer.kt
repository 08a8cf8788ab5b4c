package org.godwitwick.node.control

import org.slf4j.LoggerFactory
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Runs [task] every [periodMs] on a thread of its own, but only while [isNeeded], so that an idle instance doesn't wake its processor.
 * Whoever makes it needed calls [wake] afterwards.
 */
class OnDemandTimer(
    private val name: String,
    private val periodMs: Long,
    private val isNeeded: () -> Boolean,
    private val task: () -> Unit,
) : AutoCloseable {
    private val executor = Executors.newSingleThreadScheduledExecutor { Thread(it, name).apply { isDaemon = true } }
    private val isScheduled = AtomicBoolean()

    /** Starts the timer unless it runs. */
    fun wake() {
        if (isScheduled.get() || !isScheduled.compareAndSet(false, true)) return
        try {
            executor.schedule(::run, periodMs, TimeUnit.MILLISECONDS)
        } catch (_: RejectedExecutionException) {
            log.debug("control: the timer {} is closed", name)
        }
    }

    private fun run() {
        try {
            task()
        } catch (e: RuntimeException) {
            log.error("control: the task of the timer {} failed", name, e)
        }
        isScheduled.set(false)
        // It may have become needed again after the task looked, while it still counted as scheduled.
        if (isNeeded()) wake()
    }

    override fun close() {
        executor.shutdownNow()
    }

    private companion object {
        val log = LoggerFactory.getLogger(OnDemandTimer::class.java)
    }
}
