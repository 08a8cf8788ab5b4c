package org.godwitwick.node.forward

import org.godwitwick.core.forward.ClockReading
import org.godwitwick.core.forward.FeedFreshness
import org.godwitwick.core.forward.UpstreamDirectory
import org.godwitwick.node.peer.FeedAnswer
import org.godwitwick.node.peer.FeedPull
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executor
import java.util.concurrent.TimeUnit

/**
 * Cache of one feed's records, from which other instances are answered. Each answer states when its records were last proven to
 * be current, so stale records may be served too. Thread safe.
 *
 * @param delayedExecutor returns an executor that runs a task after the given delay in milliseconds.
 */
class FeedCache(
    private val clock: () -> ClockReading,
    private val delayedExecutor: (delayMs: Long) -> Executor = { CompletableFuture.delayedExecutor(it, TimeUnit.MILLISECONDS) },
) {
    /** The records from one offset on, encoded for sending. */
    private class EncodedPage(val records: ByteArray, val isSnapshot: Boolean, val next: FeedPosition, val provenAt: ClockReading)

    private class WaitingPull(val pull: FeedPull, val receivedAt: ClockReading, val answer: CompletableFuture<FeedAnswer>)

    // In the order of their last change. A removed key is found in the recent records only.
    private val latestByKey = LinkedHashMap<String, StoredRecord>()
    private val recentRecords = ArrayDeque<StoredRecord>()
    private var next: FeedPosition? = null
    private var provenAt: ClockReading? = null
    private var isFirstHand = false
    private var passesProofs = false
    private var storeRecoveredAtMs: Long? = null
    private val waitingPulls = ArrayList<WaitingPull>()

    /** Stores the result of a read: of the store if [isFirstHand] is set, otherwise of another instance. */
    fun onRead(read: FeedRead, isFirstHand: Boolean) {
        val answers = synchronized(this) {
            if (read.isSnapshot) replace(read.records) else read.records.forEach(::append)
            next = read.next
            provenAt = read.provenAt
            this.isFirstHand = isFirstHand
            passesProofs = isFirstHand
            read.storeRecoveredAtMs?.let { storeRecoveredAtMs = it }
            val isChange = read.records.isNotEmpty() || read.storeRecoveredAtMs != null || read.isSnapshot
            takeAnswers { isChange || it.pull.awaitsProof }
        }
        answers.forEach { (future, answer) -> future.complete(answer) }
    }

    /** Answers the pulls that wait for a proof after a read of the store has failed, because the asking readers shall read it. */
    fun onStoreFailed() {
        val answers = synchronized(this) {
            passesProofs = false
            takeAnswers { it.pull.awaitsProof }
        }
        answers.forEach { (future, answer) -> future.complete(answer) }
    }

    private fun takeAnswers(isDue: (WaitingPull) -> Boolean): List<Pair<CompletableFuture<FeedAnswer>, FeedAnswer>> {
        val due = waitingPulls.filter(isDue)
        waitingPulls.removeAll(due)
        // All waiting followers are at the same offset, so the records are encoded once.
        val encoded = due.firstOrNull()?.let { encodeFor(it.pull) }
        return due.map { it.answer to answerTo(it, encoded) }
    }

    private fun replace(records: List<StoredRecord>) {
        latestByKey.clear()
        recentRecords.clear()
        records.forEach(::put)
    }

    private fun append(record: StoredRecord) {
        put(record)
        recentRecords.addLast(record)
        while (recentRecords.size > MAX_RECENT_RECORDS) recentRecords.removeFirst()
    }

    private fun put(record: StoredRecord) {
        latestByKey.remove(record.key)
        if (record.value != null) latestByKey[record.key] = record
    }

    /** Answers [pull]: at once if there are newer records, otherwise with the next change or after the requested wait. */
    fun answer(pull: FeedPull): CompletableFuture<FeedAnswer> = synchronized(this) {
        val receivedAt = clock()
        val mayWait =
            pull.holdMs > 0 && next == FeedPosition(pull.era, pull.fromOffset) && (passesProofs || !pull.awaitsProof)
        val waiting = WaitingPull(pull, receivedAt, CompletableFuture())
        if (!mayWait) return CompletableFuture.completedFuture(answerTo(waiting, encodeFor(pull)))
        waitingPulls += waiting
        delayedExecutor(pull.holdMs.coerceAtMost(MAX_WAIT_MS)).execute { answerAfterWait(waiting) }
        waiting.answer
    }

    private fun answerAfterWait(waiting: WaitingPull) {
        val answer = synchronized(this) {
            if (waitingPulls.remove(waiting)) answerTo(waiting, encodeFor(waiting.pull)) else null
        }
        answer?.let(waiting.answer::complete)
    }

    // Returns null if this instance has not read the feed up to that position.
    private fun encodeFor(pull: FeedPull): EncodedPage? {
        val next = next?.takeIf { pull.era < it.era || (pull.era == it.era && pull.fromOffset <= it.offset) } ?: return null
        val proven = provenAt ?: return null
        val fromOffset = if (pull.era == next.era) pull.fromOffset else UNKNOWN_OFFSET
        val missing = next.offset - fromOffset
        // Offsets have no gaps, but the records that led to a snapshot are not among the recent ones.
        val isSnapshot = fromOffset < 0 || missing > recentRecords.size
        val records = if (isSnapshot) latestByKey.values.toList() else recentRecords.takeLast(missing.toInt())
        return EncodedPage(encodeFeedRecords(records), isSnapshot, next, proven)
    }

    private fun answerTo(waiting: WaitingPull, encoded: EncodedPage?): FeedAnswer {
        if (encoded == null) return FeedAnswer(ByteArray(0), isSnapshot = false, UNKNOWN_OFFSET, 0, isFirstHand = false)
        val regainedLeadMs = storeRecoveredAtMs?.let { it - waiting.receivedAt.steadyMs }
        return FeedAnswer(
            encoded.records,
            encoded.isSnapshot,
            encoded.next.offset,
            FeedFreshness.leadMs(encoded.provenAt, waiting.receivedAt),
            isFirstHand,
            regainedLeadMs?.takeIf { it > -UpstreamDirectory.REMOVAL_GRACE_MS },
            encoded.next.era,
            passesProofs,
        )
    }

    companion object {
        /** Offset in the answer of an instance that has not read the feed, and in the pull of one that needs all keys. */
        const val UNKNOWN_OFFSET = -1L

        /** Bounds the changes that a follower may miss while it switches to another reader and still get without a snapshot. */
        private const val MAX_RECENT_RECORDS = 512
        private const val MAX_WAIT_MS = 5_000L
    }
}
