package org.godwitwick.node.forward

import com.github.michaelbull.result.fold
import org.godwitwick.core.forward.ClockReading
import org.slf4j.LoggerFactory
import kotlin.concurrent.thread

/** Receives what a [FeedFollower] reads. Called on the follower's thread. */
interface FeedListener<T> {
    /** Called with the newest record of each key; [items] is proven to be complete as of [provenAt]. */
    fun onSnapshot(items: Map<String, T?>, provenAt: ClockReading)

    /** Called with the changes in order, which may be none; [items] is proven to be complete as of [provenAt]. */
    fun onChanges(items: List<Pair<String, T?>>, provenAt: ClockReading)

    /**
     * Called when the store has answered again, at monotonic time [atMs], after an outage in which registrations may have
     * expired.
     */
    fun onStoreRecovered(atMs: Long)

    /** Called before [onSnapshot] and [onChanges] with the position that their records reach. */
    fun onPosition(position: FeedPosition) = Unit
}

/** Follows a [RecordFeed] on its own thread: reads the newest record of each key first, then the changes. */
class FeedFollower<T>(
    private val name: String,
    private val reader: FeedReader,
    private val decode: (List<StoredRecord>) -> List<Pair<String, T?>>,
    private val listener: FeedListener<T>,
) : AutoCloseable {
    private var next: FeedPosition? = null

    @Volatile
    private var isClosed = false
    private val thread = thread(start = false, isDaemon = true, name = "feed-$name") { run() }

    /** Starts the thread. */
    fun start() = thread.start()

    private fun run() {
        while (!isClosed) {
            try {
                step()
            } catch (_: InterruptedException) {
                isClosed = true
            } catch (e: RuntimeException) {
                // A record that cannot be handled must not end the thread, because nothing else follows the store.
                log.error("feed: the follower of {} failed", name, e)
                pauseAfterFault()
            }
        }
    }

    /** Reads once. */
    internal fun step() = reader.read(next).fold(::notifyListener) { failure ->
        if (failure is FeedFailure.HistoryDropped) {
            log.info("feed: {}: {}", name, failure.message)
            next = null
        }
    }

    private fun notifyListener(read: FeedRead) {
        read.storeRecoveredAtMs?.let(listener::onStoreRecovered)
        next = read.next
        val items = decode(read.records)
        listener.onPosition(read.next)
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
