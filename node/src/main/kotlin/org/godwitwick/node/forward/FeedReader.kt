package org.godwitwick.node.forward

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onErr
import org.godwitwick.core.forward.ClockReading
import org.slf4j.LoggerFactory

/**
 * What one read of a feed has led to.
 *
 * @property records records in order, or the newest of each key when [isSnapshot] is set.
 * @property nextOffset offset from which later changes are read.
 * @property provenAt moment at which the records are known to have been all.
 * @property regainedAtMs steady time at which the store answered again after an outage in which entries may have lapsed; null unless
 *   that is new.
 */
class FeedRead(
    val records: List<StoredRecord>,
    val nextOffset: Long,
    val isSnapshot: Boolean,
    val provenAt: ClockReading,
    val regainedAtMs: Long? = null,
)

/** Reads a feed, wherever it is read from. Used by one thread. */
interface FeedReader {
    /** Reads the changes from [fromOffset] on, or the newest record of each key when it is null; may wait for news. */
    fun read(fromOffset: Long?): Result<FeedRead, FeedFailure>
}

/**
 * Reads a feed from the store.
 *
 * @param outageMs time without an answer after which entries of live processes may have lapsed.
 */
class StoreReader(
    private val name: String,
    private val feed: RecordFeed<*>,
    private val outageMs: Long,
    private val clock: () -> ClockReading,
) {
    private var lastAnswerMs: Long? = null
    private var failures = 0

    /** Reads from [fromOffset] as [FeedReader.read] says, and waits for news for up to [waitMs]. */
    fun read(fromOffset: Long?, waitMs: Long): Result<FeedRead, FeedFailure> {
        val sentAt = clock()
        return (if (fromOffset == null) newest(sentAt) else changes(fromOffset, waitMs, sentAt)).onErr(::failed)
    }

    private fun newest(sentAt: ClockReading) = feed.newest().map { page ->
        log.info("feed: {} read {} newest records", name, page.records.size)
        FeedRead(page.records, page.nextOffset, isSnapshot = true, sentAt, answered())
    }

    private fun changes(fromOffset: Long, waitMs: Long, sentAt: ClockReading): Result<FeedRead, FeedFailure> {
        // After a failure an answer tells that the store is back, so it must not wait for a record.
        val allowedMs = if (failures > 0) 0 else waitMs
        return feed.changes(fromOffset, allowedMs).map { page ->
            FeedRead(page.records, page.nextOffset, isSnapshot = false, provenAt(sentAt, allowedMs, page), answered())
        }
    }

    // A read that waited its whole time and found nothing says that there was nothing at the end of the wait.
    private fun provenAt(sentAt: ClockReading, waitMs: Long, page: StoredPage): ClockReading {
        val hasWaited = page.records.isEmpty() && clock().steadyMs - sentAt.steadyMs >= waitMs
        if (!hasWaited) return sentAt
        return ClockReading(sentAt.steadyMs + waitMs, sentAt.wallMs + waitMs)
    }

    private fun answered(): Long? {
        val nowMs = clock().steadyMs
        val last = lastAnswerMs
        if (failures > 0) log.info("feed: {} answers again after {} failures", name, failures)
        val isRegained = failures > 0 && last != null && nowMs - last >= outageMs
        failures = 0
        lastAnswerMs = nowMs
        return if (isRegained) nowMs else null
    }

    private fun failed(failure: FeedFailure) {
        if (failure is FeedFailure.Unreachable && failures++ == 0) log.warn("feed: {} lost: {}", name, failure.message)
    }

    private companion object {
        val log = LoggerFactory.getLogger(StoreReader::class.java)
    }
}
