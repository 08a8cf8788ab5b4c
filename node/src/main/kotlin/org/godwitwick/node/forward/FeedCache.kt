package org.godwitwick.node.forward

import org.godwitwick.core.forward.ClockReading
import org.godwitwick.core.forward.FeedProof
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
            waiting.map { it.answer to answerTo(it.pull, it.askedAt) }.also { waiting.clear() }
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
        if (!mayWait) return CompletableFuture.completedFuture(answerTo(pull, askedAt))
        val waiter = Waiting(pull, askedAt, CompletableFuture())
        waiting += waiter
        later(pull.holdMs.coerceAtMost(MAX_HOLD_MS)).execute { release(waiter) }
        waiter.answer
    }

    private fun release(waiter: Waiting) {
        val answer = synchronized(this) { if (waiting.remove(waiter)) answerTo(waiter.pull, waiter.askedAt) else null }
        answer?.let(waiter.answer::complete)
    }

    private fun answerTo(pull: FeedPull, askedAt: ClockReading): FeedAnswer {
        val next = nextOffset
        val proven = provenAt
        if (next == null || proven == null ||
            pull.fromOffset > next
        ) {
            return FeedAnswer(ByteArray(0), false, UNKNOWN, 0, isFirstHand = false)
        }
        val missing = next - pull.fromOffset
        // Offsets have no gaps, but a snapshot isn't followed by the records that led to it.
        val isSnapshot = pull.fromOffset < 0 || missing > recent.size
        val records = if (isSnapshot) newest.values.toList() else recent.takeLast(missing.toInt())
        return FeedAnswer(
            encodeFeedRecords(records),
            isSnapshot,
            next,
            FeedProof.leadMs(proven, askedAt),
            isFirstHand,
            regainedAtMs?.let { it - askedAt.steadyMs }?.takeIf { it > -UpstreamDirectory.LAPSE_GRACE_MS },
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
