package org.godwitwick.node.forward

import com.github.michaelbull.result.fold
import org.godwitwick.core.forward.ClockReading
import org.slf4j.LoggerFactory
import kotlin.concurrent.thread

/**
 * Timing of a [FeedFollower].
 *
 * @property waitMs time for which a read waits for records.
 * @property periodMs least time between the starts of two reads, so that frequent records share a read.
 * @property outageMs time without an answer after which entries of live processes may have lapsed.
 */
data class FeedPacing(val waitMs: Long, val periodMs: Long, val outageMs: Long)

/** Follows a [RecordFeed] on a thread of its own: first its snapshot, then its changes. */
class FeedFollower<T>(
    private val name: String,
    private val feed: RecordFeed<T>,
    private val pacing: FeedPacing,
    private val listener: FeedListener<T>,
    private val clock: () -> ClockReading,
) : AutoCloseable {
    private var nextOffset: Long? = null
    private var lastAnswerMs: Long? = null
    private var failures = 0

    @Volatile
    private var isClosed = false
    private val thread = thread(start = false, isDaemon = true, name = "feed-$name") { run() }

    /** Starts to follow. */
    fun start() = thread.start()

    private fun run() {
        while (!isClosed) {
            val startedMs = clock().steadyMs
            val isAnswered = guardedStep()
            val pauseMs = if (isAnswered) startedMs + pacing.periodMs - clock().steadyMs else backoffMs()
            if (pauseMs > 0) pause(pauseMs)
        }
    }

    // A record that can't be handled must not end the thread, since nothing would follow the store any more.
    private fun guardedStep(): Boolean = try {
        step()
    } catch (e: RuntimeException) {
        log.error("feed: {} failed", name, e)
        false
    }

    /** Reads once; false when the store did not answer. */
    internal fun step(): Boolean {
        val sentAt = clock()
        val from = nextOffset
        return if (from == null) snapshot(sentAt) else changes(from, sentAt)
    }

    private fun snapshot(sentAt: ClockReading): Boolean = feed.newest().fold({ snapshot ->
        answered()
        nextOffset = snapshot.nextOffset
        log.info("feed: {} read {} newest records", name, snapshot.items.size)
        listener.onSnapshot(snapshot.items, sentAt)
        true
    }, ::failed)

    private fun changes(from: Long, sentAt: ClockReading): Boolean {
        // After a failure an answer tells that the store is back, so it must not wait for a record.
        val waitMs = if (failures > 0) 0 else pacing.waitMs
        return feed.changes(from, waitMs).fold({ page ->
            answered()
            nextOffset = page.nextOffset
            listener.onChanges(page.items, provenAt(sentAt, waitMs, page))
            true
        }, ::failed)
    }

    // A read that waited its whole time and found nothing says that there was nothing at the end of the wait.
    private fun provenAt(sentAt: ClockReading, waitMs: Long, page: FeedPage<T>): ClockReading {
        val now = clock()
        val hasWaited = page.items.isEmpty() && now.steadyMs - sentAt.steadyMs >= waitMs
        if (!hasWaited) return sentAt
        return ClockReading(sentAt.steadyMs + waitMs, sentAt.wallMs + waitMs)
    }

    private fun answered() {
        val nowMs = clock().steadyMs
        val last = lastAnswerMs
        if (failures > 0) log.info("feed: {} answers again after {} failures", name, failures)
        if (failures > 0 && last != null && nowMs - last >= pacing.outageMs) listener.onRegained()
        failures = 0
        lastAnswerMs = nowMs
    }

    private fun failed(failure: FeedFailure): Boolean = when (failure) {
        is FeedFailure.HistoryDropped -> {
            log.info("feed: {}: {}", name, failure.message)
            nextOffset = null
            true
        }

        is FeedFailure.Unreachable -> {
            if (failures++ == 0) log.warn("feed: {} lost: {}", name, failure.message)
            false
        }
    }

    private fun backoffMs(): Long = (MIN_BACKOFF_MS shl failures.coerceIn(1, MAX_DOUBLINGS) - 1).coerceAtMost(MAX_BACKOFF_MS)

    private fun pause(pauseMs: Long) {
        try {
            Thread.sleep(pauseMs)
        } catch (_: InterruptedException) {
            isClosed = true
        }
    }

    override fun close() {
        isClosed = true
        thread.interrupt()
    }

    private companion object {
        /** First pause after a failure; a refusing store is asked less often with each further one. */
        const val MIN_BACKOFF_MS = 100L

        /** Longest pause, well below the time in which a withdrawn key has to be known. */
        const val MAX_BACKOFF_MS = 400L
        const val MAX_DOUBLINGS = 8
        val log = LoggerFactory.getLogger(FeedFollower::class.java)
    }
}
