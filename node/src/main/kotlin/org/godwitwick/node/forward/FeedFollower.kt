package org.godwitwick.node.forward

import com.github.michaelbull.result.fold
import org.godwitwick.core.forward.ClockReading
import org.slf4j.LoggerFactory
import kotlin.concurrent.thread

/** Is told what a [FeedFollower] reads, on the follower's thread. */
interface FeedListener<T> {
    /** The newest records, known to be complete at [provenAt]. */
    fun onSnapshot(items: Map<String, T?>, provenAt: ClockReading)

    /** Changes in order, also none, known to be all at [provenAt]. */
    fun onChanges(items: List<Pair<String, T?>>, provenAt: ClockReading)

    /** The store answers again, since [atMs] of the steady clock, after an outage in which entries may have lapsed. */
    fun onRegained(atMs: Long)
}

/** Follows a [RecordFeed] on a thread of its own: first its newest records, then its changes. */
class FeedFollower<T>(
    private val name: String,
    private val reader: FeedReader,
    private val decode: (List<StoredRecord>) -> List<Pair<String, T?>>,
    private val listener: FeedListener<T>,
) : AutoCloseable {
    private var nextOffset: Long? = null

    @Volatile
    private var isClosed = false
    private val thread = thread(start = false, isDaemon = true, name = "feed-$name") { run() }

    /** Starts to follow. */
    fun start() = thread.start()

    private fun run() {
        while (!isClosed) {
            try {
                step()
            } catch (_: InterruptedException) {
                isClosed = true
            } catch (e: RuntimeException) {
                // A record that can't be handled must not end the thread, since nothing would follow the store any more.
                log.error("feed: {} failed", name, e)
                pauseAfterFault()
            }
        }
    }

    /** Reads once. */
    internal fun step() = reader.read(nextOffset).fold(::take) { failure ->
        if (failure is FeedFailure.HistoryDropped) {
            log.info("feed: {}: {}", name, failure.message)
            nextOffset = null
        }
    }

    private fun take(read: FeedRead) {
        read.regainedAtMs?.let(listener::onRegained)
        nextOffset = read.nextOffset
        val items = decode(read.records)
        if (read.isSnapshot) listener.onSnapshot(items.toMap(), read.provenAt) else listener.onChanges(items, read.provenAt)
    }

    private fun pauseAfterFault() {
        try {
            Thread.sleep(FAULT_PAUSE_MS)
        } catch (_: InterruptedException) {
            isClosed = true
        }
    }

    override fun close() {
        isClosed = true
        thread.interrupt()
    }

    private companion object {
        const val FAULT_PAUSE_MS = 100L
        val log = LoggerFactory.getLogger(FeedFollower::class.java)
    }
}
