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
 * What this instance has read of one feed, for other instances that ask. It states how old its knowledge is, so that it may answer
 * whatever it knows. Thread safe.
 *
 * @param later runs a task after a time in milliseconds.
 */
class FeedCache(
    private val clock: () -> ClockReading,
    private val later: (delayMs: Long) -> Executor = { CompletableFuture.delayedExecutor(it, TimeUnit.MILLISECONDS) },
) {
    /** What is known from one offset on, ready to be sent. */
    private class Packed(val records: ByteArray, val isSnapshot: Boolean, val nextOffset: Long, val provenAt: ClockReading)

    private class Waiting(val pull: FeedPull, val askedAt: ClockReading, val answer: CompletableFuture<FeedAnswer>)

    // In the order of their last change; a removed key stays in the recent records only.
    private val newest = LinkedHashMap<String, StoredRecord>()
    private val recent = ArrayDeque<StoredRecord>()
    private var nextOffset: Long? = null
    private var provenAt: ClockReading? = null
    private var isFirstHand = false
    private var regainedAtMs: Long? = null
    private val waiting = ArrayList<Waiting>()

    /** Takes what was read, from the store when [isFirstHand] is set and else from another instance. */
    fun take(read: FeedRead, isFirstHand: Boolean) {
        val answers = synchronized(this) {
            if (read.isSnapshot) replace(read.records) else read.records.forEach(::append)
            nextOffset = read.nextOffset
            provenAt = read.provenAt
            this.isFirstHand = isFirstHand
            read.regainedAtMs?.let { regainedAtMs = it }
            if (read.records.isEmpty() && read.regainedAtMs == null && !read.isSnapshot) return
            // Followers that wait are all at the same offset, so their records are packed once.
            val packed = waiting.firstOrNull()?.let { packedFrom(it.pull.fromOffset) }
            waiting.map { it.answer to answerTo(it, packed) }.also { waiting.clear() }
        }
        answers.forEach { (future, answer) -> future.complete(answer) }
    }

    private fun replace(records: List<StoredRecord>) {
        newest.clear()
        recent.clear()
        records.forEach(::put)
    }

    private fun append(record: StoredRecord) {
        put(record)
        recent.addLast(record)
        while (recent.size > MAX_RECENT) recent.removeFirst()
    }

    private fun put(record: StoredRecord) {
        newest.remove(record.key)
        if (record.value != null) newest[record.key] = record
    }

    /** The answer to [pull], at the latest when its time to wait is over. */
    fun answer(pull: FeedPull): CompletableFuture<FeedAnswer> = synchronized(this) {
        val askedAt = clock()
        val mayWait = pull.holdMs > 0 && nextOffset == pull.fromOffset
        val waiter = Waiting(pull, askedAt, CompletableFuture())
        if (!mayWait) return CompletableFuture.completedFuture(answerTo(waiter, packedFrom(pull.fromOffset)))
        waiting += waiter
        later(pull.holdMs.coerceAtMost(MAX_HOLD_MS)).execute { release(waiter) }
        waiter.answer
    }

    private fun release(waiter: Waiting) {
        val answer =
            synchronized(this) { if (waiting.remove(waiter)) answerTo(waiter, packedFrom(waiter.pull.fromOffset)) else null }
        answer?.let(waiter.answer::complete)
    }

    // Null when this instance doesn't know the feed up to that offset.
    private fun packedFrom(fromOffset: Long): Packed? {
        val next = nextOffset?.takeIf { fromOffset <= it } ?: return null
        val proven = provenAt ?: return null
        val missing = next - fromOffset
        // Offsets have no gaps, but a snapshot isn't followed by the records that led to it.
        val isSnapshot = fromOffset < 0 || missing > recent.size
        val records = if (isSnapshot) newest.values.toList() else recent.takeLast(missing.toInt())
        return Packed(encodeFeedRecords(records), isSnapshot, next, proven)
    }

    private fun answerTo(waiter: Waiting, packed: Packed?): FeedAnswer {
        if (packed == null) return FeedAnswer(ByteArray(0), isSnapshot = false, UNKNOWN, 0, isFirstHand = false)
        val regainedLeadMs = regainedAtMs?.let { it - waiter.askedAt.steadyMs }
        return FeedAnswer(
            packed.records,
            packed.isSnapshot,
            packed.nextOffset,
            FeedFreshness.leadMs(packed.provenAt, waiter.askedAt),
            isFirstHand,
            regainedLeadMs?.takeIf { it > -UpstreamDirectory.REMOVAL_GRACE_MS },
        )
    }

    companion object {
        /** The next offset of an instance that knows nothing of the feed. */
        const val UNKNOWN = -1L

        /** Changes that a follower may have missed while it changed its reader. */
        private const val MAX_RECENT = 512
        private const val MAX_HOLD_MS = 5_000L
    }
}
