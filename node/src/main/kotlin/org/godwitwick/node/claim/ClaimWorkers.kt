package org.godwitwick.node.claim

import java.util.concurrent.Executors
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ThreadFactory
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

/** Threads of the claim path. Log calls block, so they do not run on the control thread. */
class ClaimWorkers : AutoCloseable {
    private val threads = ThreadFactory { Thread(it, "claims").apply { isDaemon = true } }

    // The pool needs no bound: a shard uses a thread only while it has work, and runs one step at a time.
    private val steps = Executors.newCachedThreadPool(threads)
    private val reports = ThreadPoolExecutor(
        REPORT_THREADS,
        REPORT_THREADS,
        IDLE_SECONDS,
        TimeUnit.SECONDS,
        LinkedBlockingQueue(),
        threads,
    )
        .apply { allowCoreThreadTimeOut(true) }
    private val timer = Executors.newSingleThreadScheduledExecutor(threads)

    /** Runs [step] on a thread of the pool. */
    fun execute(step: () -> Unit) = ignoreClosed { steps.execute(step) }

    /** Runs [step] after [delayMs] milliseconds. */
    fun schedule(delayMs: Long, step: () -> Unit) =
        ignoreClosed { timer.schedule({ execute(step) }, delayMs, TimeUnit.MILLISECONDS) }

    /** Runs [task] every [periodMs] milliseconds on a thread of the pool. */
    fun every(periodMs: Long, task: () -> Unit) =
        ignoreClosed { timer.scheduleWithFixedDelay({ execute(task) }, periodMs, periodMs, TimeUnit.MILLISECONDS) }

    /** Runs [task], which sends a report. A peer that does not answer blocks only one of the threads for reports. */
    fun report(task: () -> Unit) = ignoreClosed { reports.execute(task) }

    private fun ignoreClosed(action: () -> Unit) {
        try {
            action()
        } catch (_: RejectedExecutionException) {
            return
        }
    }

    /** Ends all threads. Queued reports and then running steps have [CLOSE_MS] milliseconds each to complete. */
    override fun close() {
        reports.shutdown()
        reports.awaitTermination(CLOSE_MS, TimeUnit.MILLISECONDS)
        timer.shutdownNow()
        steps.shutdown()
        if (!steps.awaitTermination(CLOSE_MS, TimeUnit.MILLISECONDS)) steps.shutdownNow()
    }

    private companion object {
        const val REPORT_THREADS = 32
        const val IDLE_SECONDS = 10L
        const val CLOSE_MS = 1_000L
    }
}
