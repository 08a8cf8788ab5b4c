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
 * Appends entries to one claim stream and decides its claims.
 *
 * At most one append is in flight; entries that arrive during it form the next batch. Entries whose append was not answered are
 * appended again; the index counts them once. The ends of calls stay queued while the log is down.
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

    // Accessed only by the running step, of which there is at most one.
    private val reader = ShardReader(stream, log, limits, metrics::countGap)
    private val rateLimiter = AppendRateLimiter(settings.appendsPerSecond, settings.appendBurst)

    /** Number of entries that are queued for the log, excluding the batch in progress. */
    val queuedEntries: Int get() = synchronized(lock) { queue.size }

    /** Appends and decides [claim], waiting at most [timeoutMs] milliseconds. */
    fun claim(claim: Claim, timeoutMs: Long): ClaimDecision {
        val item = ShardItem.ClaimItem(claim, nowMs() + timeoutMs)
        if (!enqueue(item)) return ClaimDecision.LogUnavailable("too many claims are queued for the log", mayBeAppended = false)
        return try {
            item.decision.get(timeoutMs, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            abandon(item)
        }
    }

    /**
     * Appends [entry] as soon as the log accepts it. The future completes when the entry is in the log. It never completes if the
     * entry is dropped because the queue is full or the entry has expired.
     */
    fun report(entry: ClaimEntry): CompletableFuture<Unit> {
        val item = ShardItem.ReportItem(entry, nowMs() + limits().retentionMs)
        if (!enqueue(item)) {
            LOG.error("claim: the end of claim {} was dropped because the queue of its shard is full", entry.claimId)
            metrics.countDroppedEntry()
        }
        return item.appended
    }

    /** Queues a marker, which is appended if the last record is older than a quarter of the claim window. */
    fun keepAlive() {
        enqueue(ShardItem.Marker())
    }

    /** Whether nothing is queued or in progress and the shard was last used before [sinceMs]. */
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

    private fun abandon(item: ShardItem.ClaimItem): ClaimDecision = synchronized(lock) {
        item.isAbandoned = true
        item.decision.getNow(null)
            ?: ClaimDecision.LogUnavailable("the log did not answer in time", item.mayBeAppended)
    }

    private fun run() {
        while (true) {
            val batch = dequeueBatch() ?: return
            val waitMs = try {
                step(batch)
            } catch (e: RuntimeException) {
                LOG.error("claim: processing a batch of stream {} failed", stream, e)
                settings.retryDelayMs
            }
            requeueUnfinished(batch)
            if (waitMs > 0) return workers.schedule(waitMs, ::run)
        }
    }

    private fun dequeueBatch(): List<ShardItem>? = synchronized(lock) {
        removeExpired()
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

    private fun removeExpired() {
        val now = nowMs()
        queue.removeAll { item ->
            when (item) {
                is ShardItem.ClaimItem -> item.isAbandoned || now > item.decideByMs
                is ShardItem.ReportItem -> now > item.expiresAtMs
                is ShardItem.Marker -> false
            }
        }
    }

    private fun requeueUnfinished(batch: List<ShardItem>) = synchronized(lock) {
        batch.filterNot(::isFinished).asReversed().forEach(queue::addFirst)
    }

    private fun isFinished(item: ShardItem): Boolean = when (item) {
        is ShardItem.ClaimItem -> item.decision.isDone || item.isAbandoned
        is ShardItem.ReportItem -> item.appended.isDone
        is ShardItem.Marker -> true
    }

    /**
     * Appends the entries of [batch] that need it, reads the stream and completes the items that are decided. Returns the delay
     * before the next step, in milliseconds.
     */
    private fun step(batch: List<ShardItem>): Long {
        if (!reader.isLoaded && isFailed(reader.readToEnd())) return settings.retryDelayMs
        val decidedByIndex = batch.filterIsInstance<ShardItem.ClaimItem>().filter { it.offset == null && isDecidedByIndex(it) }
        val toAppend = batch.filter { it.offset == null && it !in decidedByIndex && isAppendNeeded(it) }
        val appendWaitMs = if (toAppend.isEmpty()) 0 else append(toAppend)
        val lastOffset = batch.mapNotNull { it.offset }.maxOrNull()
        val isRead = if (lastOffset == null && decidedByIndex.isEmpty()) true else !isFailed(reader.readThrough(lastOffset))
        decidedByIndex.forEach { answerFromIndex(it) }
        if (isRead) batch.filter { it.offset != null }.forEach(::answerAppended)
        return if (isRead) appendWaitMs else settings.retryDelayMs
    }

    // Returns whether a read of the stream failed, and logs the failure.
    private fun isFailed(result: Result<Unit, LogFailure>): Boolean = result
        .onErr { LOG.warn("claim: reading stream {} failed: {}", stream, it.message) }
        .isErr

    // An append cannot win the key while another claim holds it. A claim that may already be in the log is an exception: it could
    // still win later, so it is appended again until its record is read.
    private fun isDecidedByIndex(item: ShardItem.ClaimItem): Boolean =
        reader.index.hasApplied(item.claim) || (!item.mayBeAppended && reader.index.decideWithoutAppend(item.claim) != null)

    private fun isAppendNeeded(item: ShardItem): Boolean {
        if (item !is ShardItem.Marker) return true
        val lastMs = reader.index.lastTimeMs ?: return reader.index.nextOffset > 0
        return nowMs() - lastMs > limits().windowMs / MARKERS_PER_WINDOW
    }

    private fun append(toAppend: List<ShardItem>): Long {
        val rateLimitMs = rateLimiter.acquireOrWaitMs(nowMs())
        if (rateLimitMs > 0) return rateLimitMs
        val attempted = markAttempted(toAppend)
        if (attempted.isEmpty()) return 0
        val entries = attempted.mapNotNull { it.first.entry }
        return log.append(stream, ClaimRecordCodec.encode(entries), settings.appendTimeoutMs).fold(
            { offset ->
                metrics.countAppend(entries.size)
                synchronized(lock) { attempted.forEach { it.first.offset = offset } }
                0L
            },
            { failure -> onFailedAppend(attempted, failure) },
        )
    }

    // Pairs each item with its previous mayBeAppended, which is restored if the append certainly had no effect.
    private fun markAttempted(toAppend: List<ShardItem>): List<Pair<ShardItem, Boolean>> = synchronized(lock) {
        toAppend.filterNot { it is ShardItem.ClaimItem && it.isAbandoned }.map { item ->
            val before = item.mayBeAppended
            item.mayBeAppended = true
            item to before
        }
    }

    private fun onFailedAppend(attempted: List<Pair<ShardItem, Boolean>>, failure: LogFailure): Long {
        LOG.warn("claim: append to stream {} failed: {}", stream, failure.message)
        metrics.countFailedAppend(isRefused = failure is LogFailure.NotApplied)
        if (failure !is LogFailure.NotApplied) return settings.retryDelayMs
        synchronized(lock) { attempted.forEach { (item, before) -> item.mayBeAppended = before } }
        return maxOf(settings.retryDelayMs, failure.retryAfterMs ?: 0)
    }

    private fun answerFromIndex(item: ShardItem.ClaimItem) {
        // The records read in this step may have voided the holder. In that case the claim is appended in the next step.
        val decision = reader.index.decideWithoutAppend(item.claim) ?: return
        answer(item, decision)
    }

    private fun answerAppended(item: ShardItem) {
        when (item) {
            is ShardItem.ClaimItem -> answer(item, reader.index.decide(item.claim))
            is ShardItem.ReportItem -> item.appended.complete(Unit)
            is ShardItem.Marker -> Unit
        }
    }

    private fun answer(item: ShardItem.ClaimItem, decision: ClaimDecision) = synchronized(lock) {
        if (!item.isAbandoned) item.decision.complete(decision)
    }

    private companion object {
        const val MARKERS_PER_WINDOW = 4
        val LOG = LoggerFactory.getLogger(ClaimShard::class.java)
    }
}
