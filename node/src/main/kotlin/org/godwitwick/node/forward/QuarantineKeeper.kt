package org.godwitwick.node.forward

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.onErr
import org.godwitwick.core.health.TraitRow
import org.slf4j.LoggerFactory
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit

/**
 * Reads the stored quarantines at the start and stores them when they change, on a thread of its own, because a slow store must not
 * delay anything else. What fails is tried again.
 *
 * @param currentRows returns the rows that quarantines rest on.
 * @param onRead called with the rows that were stored.
 */
class QuarantineKeeper(
    private val store: QuarantineStore,
    private val currentRows: () -> List<TraitRow>,
    private val onRead: (List<TraitRow>) -> Unit,
    private val wallMs: () -> Long = System::currentTimeMillis,
    private val retryMs: Long = RETRY_MS,
) : AutoCloseable {
    private val executor = Executors.newSingleThreadScheduledExecutor { Thread(it, "quarantine").apply { isDaemon = true } }

    @Volatile
    private var isUnsaved = false

    /** Reads what was stored before. Does not wait. */
    fun start() = schedule(0, ::read)

    /** Stores the present quarantines. Does not wait. */
    fun save() {
        isUnsaved = true
        schedule(0, ::write)
    }

    private fun read() {
        store.read(wallMs()).fold({ rows -> if (rows.isNotEmpty()) onRead(rows) }) {
            log.warn("quarantine: the stored quarantines could not be read: {}", it.message)
            schedule(retryMs, ::read)
        }
    }

    private fun write() {
        // Several changes may have been stored by one write.
        if (!isUnsaved) return
        isUnsaved = false
        store.write(currentRows(), wallMs()).onErr {
            isUnsaved = true
            log.warn("quarantine: the quarantines could not be stored: {}", it.message)
            schedule(retryMs, ::write)
        }
    }

    private fun schedule(delayMs: Long, task: () -> Unit) {
        try {
            executor.schedule(task, delayMs, TimeUnit.MILLISECONDS)
        } catch (_: RejectedExecutionException) {
            log.debug("quarantine: not read or stored because the executor was shut down")
        }
    }

    override fun close() {
        executor.shutdownNow()
    }

    private companion object {
        /** About the time in which an outage of the store is noticed. */
        const val RETRY_MS = 1_000L
        val log = LoggerFactory.getLogger(QuarantineKeeper::class.java)
    }
}
