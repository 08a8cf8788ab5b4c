package org.godwitwick.node.forward

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onErr
import org.godwitwick.core.forward.ClockReading
import org.slf4j.LoggerFactory

/**
 * Result of one read of a feed.
 *
 * @property records records in order, or the newest record of each key if [isSnapshot] is set.
 * @property next position from which later changes are read.
 * @property provenAt time at which the records are proven to have been complete.
 * @property storeRecoveredAtMs monotonic time at which the store answered again after an outage in which registrations may have
 *   expired; null if no such recovery is new.
 */
class FeedRead(
    val records: List<StoredRecord>,
    val next: FeedPosition,
    val isSnapshot: Boolean,
    val provenAt: ClockReading,
    val storeRecoveredAtMs: Long? = null,
)

/** Reads a feed from any source. Used by one thread. */
interface FeedReader {
    /** Reads the changes from [from] on, or the newest record of each key if it is null; may wait for a change. */
    fun read(from: FeedPosition?): Result<FeedRead, FeedFailure>
}

/**
 * Reads a feed from the store.
 *
 * @param outageMs time without an answer after which the registrations of live processes may have expired.
 */
class StoreReader(
    private val name: String,
    private val feed: RecordFeed<*>,
    private val outageMs: Long,
    private val clock: () -> ClockReading,
) {
    private var lastAnswerMs: Long? = null
    private var failures = 0
    private var isOnlyConnectionSilent = false
    private var lastEra: Long? = null

    /**
     * Reads like [FeedReader.read], and waits up to [waitMs] for a change. A connection that does not answer within [answerMs] after
     * that wait is given up.
     */
    fun read(from: FeedPosition?, waitMs: Long, answerMs: Long): Result<FeedRead, FeedFailure> {
        val sentAt = clock()
        return (if (from == null) newest(sentAt) else changes(from, waitMs, answerMs, sentAt)).onErr { onFailure(it, sentAt) }
    }

    private fun newest(sentAt: ClockReading) = feed.newest().map { page ->
        log.info(
            "feed: {} read {} newest records in era {}; changes follow from offset {}",
            name,
            page.records.size,
            page.era,
            page.nextOffset,
        )
        FeedRead(page.records, page.next, isSnapshot = true, sentAt, onAnswer(page.era))
    }

    private fun changes(from: FeedPosition, waitMs: Long, answerMs: Long, sentAt: ClockReading): Result<FeedRead, FeedFailure> {
        // After a failure any answer shows that the store is available again, so it must not be delayed by a wait for a record. A
        // slow store gets more time then.
        val hasFailed = failures > 0
        val allowedMs = if (hasFailed) 0 else waitMs
        val allowedAnswerMs = if (hasFailed) maxOf(answerMs, SLOW_ANSWER_MS) else answerMs
        val page = changesUpToEnd(from, allowedMs, allowedAnswerMs).getOrElse { return Err(it) }
        return Ok(FeedRead(page.records, page.next, isSnapshot = false, provenAt(sentAt, allowedMs, page), onAnswer(page.era)))
    }

    // An answer has only the first records if there are too many for it, or if its connection ended between two records.
    private fun changesUpToEnd(from: FeedPosition, waitMs: Long, answerMs: Long): Result<StoredPage, FeedFailure> {
        var page = changesInEra(from, waitMs, answerMs).getOrElse { return Err(it) }
        val records = page.records.toMutableList()
        val endOffset = page.endOffset
        while (page.nextOffset < endOffset) {
            // A store or a connection that delivers nothing must not be asked again without a pause.
            if (page.records.isEmpty()) return Err(FeedFailure.Unreachable("the answer ends at ${page.nextOffset} of $endOffset"))
            page = changesInEra(page.next, waitMs = 0, answerMs).getOrElse { return Err(it) }
            records += page.records
        }
        return Ok(StoredPage(records, page.nextOffset, page.era))
    }

    private fun changesInEra(from: FeedPosition, waitMs: Long, answerMs: Long): Result<StoredPage, FeedFailure> {
        val page = feed.changes(from.offset, waitMs, answerMs).getOrElse { return Err(it) }
        // The offset is from another numbering, so records before it may be new.
        if (page.era != from.era) return Err(FeedFailure.HistoryDropped("the store went from era ${from.era} to ${page.era}"))
        return Ok(page)
    }

    // A read that waited for the whole time and found nothing proves that there was nothing at the end of the wait.
    private fun provenAt(sentAt: ClockReading, waitMs: Long, page: StoredPage): ClockReading {
        val hasWaited = page.records.isEmpty() && clock().steadyMs - sentAt.steadyMs >= waitMs
        if (!hasWaited) return sentAt
        return ClockReading(sentAt.steadyMs + waitMs, sentAt.wallMs + waitMs)
    }

    private val StoredPage.next get() = FeedPosition(era, nextOffset)

    private fun onAnswer(era: Long): Long? {
        val nowMs = clock().steadyMs
        val last = lastAnswerMs
        if (failures > 0) log.info("feed: {} answers again after {} failures, in era {}", name, failures, era)
        // Registrations that are younger than the store's copy are missing until their upstreams write them again.
        val isRestored = lastEra.let { it != null && it != era }
        // A silent read that is answered at once on a new connection was no outage of the store.
        val isAfterOutage = failures > 0 && !isOnlyConnectionSilent && last != null && nowMs - last >= outageMs
        lastEra = era
        failures = 0
        lastAnswerMs = nowMs
        return if (isRestored || isAfterOutage) nowMs else null
    }

    private fun onFailure(failure: FeedFailure, sentAt: ClockReading) {
        // The thread of a follower is interrupted when that is closed, which ends the read.
        if (failure is FeedFailure.HistoryDropped || Thread.currentThread().isInterrupted) return
        isOnlyConnectionSilent = failures == 0 && failure is FeedFailure.Silent
        if (failures++ > 0) return
        log.warn("feed: {} lost after {} ms: {}", name, clock().steadyMs - sentAt.steadyMs, failure.message)
    }

    private companion object {
        /** The store answers within a few milliseconds, or 50 times that when it is slow. */
        const val SLOW_ANSWER_MS = 800L
        val log = LoggerFactory.getLogger(StoreReader::class.java)
    }
}
