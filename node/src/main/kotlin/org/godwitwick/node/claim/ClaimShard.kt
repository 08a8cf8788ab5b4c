package org.godwitwick.node.claim

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.onErr
import org.godwitwick.core.claim.AppendRateLimiter
import org.godwitwick.core.claim.Claim
import org.godwitwick.core.claim.ClaimDecision
import org.godwitwick.core.claim.ClaimEntry
import org.godwitwick.core.claim.ClaimLimits
import org.godwitwick.core.claim.ClaimRecordCodec
import org.godwitwick.node.platform.LogFailure
import org.godwitwick.node.platform.PlatformLog
import org.slf4j.LoggerFactory
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/**
 * Appends to one claim stream and decides claims of it.
 *
 * At most one append is in flight; the entries that arrive meanwhile form the next batch. An append without an answer is repeated with
 * the same entries, which the fold counts once. Entries of ended calls are kept while the log is down.
 */
class ClaimShard(
    private val stream: String,
    private val log: PlatformLog,
    private val settings: ClaimSettings,
    private val limits: () -> ClaimLimits,
    private val workers: ClaimWorkers,
    private val metrics: ClaimMetrics,
    private val nowMs: () -> Long,
) {
    private val lock = Any()
    private val queue = ArrayDeque<ShardItem>()
    private var isRunning = false
    private var lastUsedMs = nowMs()

    // Owned by the one running step.
    private val reader = ShardReader(stream, log, limits, metrics::countGap)
    private val pacer = AppendRateLimiter(settings.appendsPerSecond, settings.appendBurst)

    /** Entries that wait for the log. */
    val waiting: Int get() = synchronized(lock) { queue.size }

    /** Appends and decides [claim], waiting at most [timeoutMs]. */
    fun claim(claim: Claim, timeoutMs: Long): ClaimDecision {
        val item = ShardItem.ForClaim(claim, nowMs() + timeoutMs)
        if (!enqueue(item)) return ClaimDecision.LogUnavailable("too many claims wait for the log", mayBeAppended = false)
        return try {
            item.decision.get(timeoutMs, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            giveUp(item)
        }
    }

    /** Appends [entry] as soon as the log takes it. The future ends when the entry is in the log. */
    fun report(entry: ClaimEntry): CompletableFuture<Unit> {
        val item = ShardItem.ForReport(entry, nowMs() + limits().retentionMs)
        if (!enqueue(item)) {
            LOG.error("claim: the end of claim {} was dropped because too many wait for the log", entry.claimId)
            metrics.countDropped()
        }
        return item.appended
    }

    /** Appends a marker when the last record is older than a quarter of the claim window. */
    fun keepAlive() {
        enqueue(ShardItem.Marker())
    }

    /** Whether nothing waits and the shard was not used since [sinceMs]. */
    fun isIdleSince(sinceMs: Long): Boolean = synchronized(lock) { queue.isEmpty() && !isRunning && lastUsedMs < sinceMs }

    private fun enqueue(item: ShardItem): Boolean {
        synchronized(lock) {
            if (queue.size >= settings.queueMax) return false
            lastUsedMs = nowMs()
            queue.addLast(item)
            if (isRunning) return true
            isRunning = true
        }
        workers.execute(::run)
        return true
    }

    private fun giveUp(item: ShardItem.ForClaim): ClaimDecision = synchronized(lock) {
        item.isAnswered = true
        item.decision.getNow(null)
            ?: ClaimDecision.LogUnavailable("the log did not answer in time", item.mayBeAppended)
    }

    private fun run() {
        while (true) {
            val batch = takeBatch() ?: return
            val waitMs = try {
                step(batch)
            } catch (e: RuntimeException) {
                LOG.error("claim: step of {} failed", stream, e)
                settings.retryDelayMs
            }
            putBack(batch)
            if (waitMs > 0) return workers.schedule(waitMs, ::run)
        }
    }

    private fun takeBatch(): List<ShardItem>? = synchronized(lock) {
        dropStale()
        val batch = ArrayList<ShardItem>()
        var sizeBytes = 0
        while (queue.isNotEmpty() && (batch.isEmpty() || sizeBytes + queue.first().sizeBytes <= settings.batchMaxBytes)) {
            val item = queue.removeFirst()
            sizeBytes += item.sizeBytes
            batch += item
        }
        if (batch.isEmpty()) isRunning = false
        batch.takeIf { it.isNotEmpty() }
    }

    private fun dropStale() {
        val now = nowMs()
        queue.removeAll { item ->
            when (item) {
                is ShardItem.ForClaim -> item.isAnswered || now > item.untilMs
                is ShardItem.ForReport -> now > item.keepUntilMs
                is ShardItem.Marker -> false
            }
        }
    }

    private fun putBack(batch: List<ShardItem>) = synchronized(lock) {
        batch.filterNot(::isFinished).asReversed().forEach(queue::addFirst)
    }

    private fun isFinished(item: ShardItem): Boolean = when (item) {
        is ShardItem.ForClaim -> item.decision.isDone || item.isAnswered
        is ShardItem.ForReport -> item.appended.isDone
        is ShardItem.Marker -> true
    }

    /** Advances [batch] and returns the wait before the next step, in milliseconds. */
    private fun step(batch: List<ShardItem>): Long {
        if (!reader.isLoaded && isFailed(reader.readToEnd())) return settings.retryDelayMs
        val known = batch.filterIsInstance<ShardItem.ForClaim>().filter { it.offset == null && isDecidedByIndex(it) }
        val fresh = batch.filter { it.offset == null && it !in known && isAppendNeeded(it) }
        val appendWaitMs = if (fresh.isEmpty()) 0 else append(fresh)
        val lastOffset = batch.mapNotNull { it.offset }.maxOrNull()
        val isRead = if (lastOffset == null && known.isEmpty()) true else !isFailed(reader.readThrough(lastOffset))
        known.forEach { answerKnown(it) }
        if (isRead) batch.filter { it.offset != null }.forEach(::answerAppended)
        return if (isRead) appendWaitMs else settings.retryDelayMs
    }

    private fun isFailed(result: Result<Unit, LogFailure>): Boolean = result
        .onErr { LOG.warn("claim: {} can't be read: {}", stream, it.message) }
        .isErr

    // While another claim holds the key, an append would only lose. A claim that may be in the log already is an exception: it could
    // still win later, so it is appended again until its record is seen.
    private fun isDecidedByIndex(item: ShardItem.ForClaim): Boolean =
        reader.index.hasApplied(item.claim) || (!item.mayBeAppended && reader.index.decideWithoutAppend(item.claim) != null)

    private fun isAppendNeeded(item: ShardItem): Boolean {
        if (item !is ShardItem.Marker) return true
        val lastMs = reader.index.lastTimeMs ?: return reader.index.nextOffset > 0
        return nowMs() - lastMs > limits().windowMs / MARKERS_PER_WINDOW
    }

    private fun append(fresh: List<ShardItem>): Long {
        val paceMs = pacer.acquireOrWaitMs(nowMs())
        if (paceMs > 0) return paceMs
        val attempted = startAttempt(fresh)
        if (attempted.isEmpty()) return 0
        val entries = attempted.mapNotNull { it.first.entry }
        return log.append(stream, ClaimRecordCodec.encode(entries), settings.appendTimeoutMs).fold(
            { offset ->
                metrics.countAppend(entries.size)
                synchronized(lock) { attempted.forEach { it.first.offset = offset } }
                0L
            },
            { failure -> endFailedAttempt(attempted, failure) },
        )
    }

    // Each item is paired with whether it may have been in the log before this attempt.
    private fun startAttempt(fresh: List<ShardItem>): List<Pair<ShardItem, Boolean>> = synchronized(lock) {
        fresh.filterNot { it is ShardItem.ForClaim && it.isAnswered }.map { item ->
            val before = item.mayBeAppended
            item.mayBeAppended = true
            item to before
        }
    }

    private fun endFailedAttempt(attempted: List<Pair<ShardItem, Boolean>>, failure: LogFailure): Long {
        LOG.warn("claim: append to {} failed: {}", stream, failure.message)
        metrics.countFailedAppend(isRefused = failure is LogFailure.NotApplied)
        if (failure !is LogFailure.NotApplied) return settings.retryDelayMs
        synchronized(lock) { attempted.forEach { (item, before) -> item.mayBeAppended = before } }
        return maxOf(settings.retryDelayMs, failure.retryAfterMs ?: 0)
    }

    private fun answerKnown(item: ShardItem.ForClaim) {
        // The holder may have been voided by what was read meanwhile; then the claim is appended in the next step.
        val decision = reader.index.decideWithoutAppend(item.claim) ?: return
        answer(item, decision)
    }

    private fun answerAppended(item: ShardItem) {
        when (item) {
            is ShardItem.ForClaim -> answer(item, reader.index.decide(item.claim))
            is ShardItem.ForReport -> item.appended.complete(Unit)
            is ShardItem.Marker -> Unit
        }
    }

    private fun answer(item: ShardItem.ForClaim, decision: ClaimDecision) = synchronized(lock) {
        if (!item.isAnswered) item.decision.complete(decision)
    }

    private companion object {
        const val MARKERS_PER_WINDOW = 4
        val LOG = LoggerFactory.getLogger(ClaimShard::class.java)
    }
}
