package org.godwitwick.node.control

import org.slf4j.LoggerFactory
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Runs [task] every [periodMs] on its own thread while [isNeeded] returns true, so that an idle instance causes no CPU wake-ups.
 * A caller that makes [isNeeded] true must call [wake] afterwards.
 */
class OnDemandTimer(
    private val name: String,
    private val periodMs: Long,
    private val isNeeded: () -> Boolean,
    private val task: () -> Unit,
) : AutoCloseable {
    private val executor = Executors.newSingleThreadScheduledExecutor { Thread(it, name).apply { isDaemon = true } }
    private val isScheduled = AtomicBoolean()

    /** Starts the timer unless it is already running. */
    fun wake() {
        if (isScheduled.get() || !isScheduled.compareAndSet(false, true)) return
        try {
            executor.schedule(::run, periodMs, TimeUnit.MILLISECONDS)
        } catch (_: RejectedExecutionException) {
            log.debug("control: timer {} not started because it is closed", name)
        }
    }

    private fun run() {
        try {
            task()
        } catch (e: RuntimeException) {
            log.error("control: task of timer {} failed", name, e)
        }
        isScheduled.set(false)
        // Work may have been added after the task ran, when wake() had no effect because isScheduled was still set.
        if (isNeeded()) wake()
    }

    override fun close() {
        executor.shutdownNow()
    }

    private companion object {
        val log = LoggerFactory.getLogger(OnDemandTimer::class.java)
    }
}
