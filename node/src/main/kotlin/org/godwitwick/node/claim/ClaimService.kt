package org.godwitwick.node.claim

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import org.godwitwick.core.claim.Claim
import org.godwitwick.core.claim.ClaimDecision
import org.godwitwick.core.claim.ClaimEntry
import org.godwitwick.core.claim.ClaimKey
import org.godwitwick.core.claim.ClaimLimits
import org.godwitwick.core.claim.ClaimRecordCodec
import org.godwitwick.core.claim.Outcome
import org.godwitwick.core.claim.OutcomeEntry
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.peer.ClaimAnswer
import org.godwitwick.node.peer.ClaimReport
import org.godwitwick.node.peer.ClaimReportAnswer
import org.godwitwick.node.peer.ClaimRequest
import org.godwitwick.node.peer.ClaimRuling
import org.godwitwick.node.peer.PeerFailure
import org.godwitwick.node.peer.PeerMessage
import org.godwitwick.node.peer.PeerNetwork
import org.godwitwick.node.platform.PlatformLog
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/**
 * Claims keys through the owners of their shards, and serves the claims of other instances for the shards that this instance
 * owns.
 *
 * If the owner does not answer, the instance appends to the log directly. This is safe because a claim is decided by the order of
 * the records in the log, not by the owner.
 *
 * @property self id of this instance.
 * @property region region of this instance.
 * @property homeRegion returns the region in which the instance list has a service, or null if the list has none.
 * @property services returns the names of the services that have routes whose calls are executed at most once.
 */
class ClaimService(
    private val self: InstanceId,
    private val region: String,
    private val log: PlatformLog,
    private val peers: PeerNetwork,
    private val homeRegion: (String) -> String?,
    private val services: () -> Set<String>,
    private val limits: () -> ClaimLimits,
    private val settings: ClaimSettings,
    private val metrics: ClaimMetrics,
    private val nowMs: () -> Long,
) : ClaimClient,
    AutoCloseable {
    private val workers = ClaimWorkers()
    private val shards = ConcurrentHashMap<String, ClaimShard>()

    init {
        peers.handle(ClaimRequest::class.java) { _, request ->
            ClaimAnswer(request.claim.claimId, rule(request.claim, request.timeoutMs))
        }
        peers.handle(ClaimReport::class.java, ::serveReport)
        metrics.publishQueuedEntries(::queuedEntries)
    }

    /** Number of entries that are queued for the log, over all shards. */
    val queuedEntries: Int get() = shards.values.sumOf { it.queuedEntries }

    /** Starts the periodic maintenance of the shards. */
    fun start() {
        workers.every(settings.keepAliveCheckMs, ::maintain)
        workers.execute(::maintain)
    }

    override fun claim(claim: Claim, timeoutMs: Long): ClaimRuling {
        val startedMs = nowMs()
        val owner = ownerOf(claim.key) ?: return rule(claim, timeoutMs)
        val ownerTimeoutMs = minOf(settings.ownerTimeoutMs, timeoutMs)
        val request = ClaimRequest(claim, ownerTimeoutMs * OWNER_PERCENT / PERCENT)
        val isSent = peers.request(owner, request, ownerTimeoutMs).fold(
            { answer -> if (answer is ClaimAnswer && answer.claimId == claim.claimId) return answer.ruling else true },
            { it !is PeerFailure.NotSent },
        )
        LOG.warn("claim: owner {} did not answer, this instance appends to the log directly", owner)
        metrics.countOwnerUnreachable()
        val ruling = rule(claim, (timeoutMs - (nowMs() - startedMs)).coerceAtLeast(0))
        // The owner may still append the claim if the request was sent.
        return if (ruling is ClaimRuling.LogUnavailable && isSent) ruling.copy(mayBeAppended = true) else ruling
    }

    override fun report(entry: ClaimEntry) = workers.report {
        val owner = ownerOf(entry.key)
        if (owner == null || !isAppendedBy(owner, entry)) shardOf(entry.key).report(entry)
    }

    /** Keeps the streams of owned shards from becoming empty, and drops idle shards that other instances own. */
    fun maintain() {
        val owned = services().flatMap { service ->
            (0 until settings.shards.count).map {
                settings.shards.streamOf(service, it) to
                    service
            }
        }
            .filter { (stream, service) -> ownerOf(stream, service) == null }
            .map { it.first }
        owned.forEach { shard(it).keepAlive() }
        val idleSinceMs = nowMs() - settings.idleShardMs
        shards.entries.removeIf { (stream, shard) -> stream !in owned && shard.isIdleSince(idleSinceMs) }
    }

    private fun isAppendedBy(owner: InstanceId, entry: ClaimEntry): Boolean {
        val report = ClaimReport(entry, settings.ownerTimeoutMs * OWNER_PERCENT / PERCENT)
        return peers.request(owner, report, settings.ownerTimeoutMs).fold(
            { it is ClaimReportAnswer && it.claimId == entry.claimId && it.isAppended },
            { false },
        )
    }

    private fun serveReport(from: InstanceId, report: ClaimReport): PeerMessage {
        LOG.debug("claim: instance {} reported the end of claim {}", from, report.entry.claimId)
        val isAppended = try {
            shardOf(report.entry.key).report(report.entry).get(report.timeoutMs, TimeUnit.MILLISECONDS)
            true
        } catch (_: TimeoutException) {
            false
        }
        return ClaimReportAnswer(report.entry.claimId, isAppended)
    }

    private fun rule(claim: Claim, timeoutMs: Long): ClaimRuling =
        when (val decision = shardOf(claim.key).claim(claim, timeoutMs)) {
            is ClaimDecision.Granted -> ClaimRuling.Granted(decision.fencingNumber)
            is ClaimDecision.Replay -> outcomeOf(claim.key, decision)?.let(ClaimRuling::Replay) ?: ClaimRuling.OutcomeUnknown
            is ClaimDecision.Pending -> if (isStillPending(decision)) ClaimRuling.Pending else ClaimRuling.OutcomeUnknown
            ClaimDecision.Freed -> ClaimRuling.Pending
            ClaimDecision.OutcomeUnknown -> ClaimRuling.OutcomeUnknown
            ClaimDecision.Mismatch -> ClaimRuling.Mismatch
            ClaimDecision.Expired -> ClaimRuling.Expired
            ClaimDecision.FromFuture -> ClaimRuling.FromFuture
            is ClaimDecision.LogUnavailable -> ClaimRuling.LogUnavailable(decision.message, decision.mayBeAppended)
        }

    // Outcomes are read from the log, because the bodies of a whole claim window would not fit into an instance's memory.
    private fun outcomeOf(key: ClaimKey, replay: ClaimDecision.Replay): Outcome? {
        val page = log.read(settings.shards.streamOf(key), replay.outcomeOffset, 1, 0).getOrElse { return null }
        val record = page.records.firstOrNull()?.takeIf { it.offset == replay.outcomeOffset } ?: return null
        return ClaimRecordCodec.decode(record.data).orEmpty().filterIsInstance<OutcomeEntry>()
            .firstOrNull { it.claimId == replay.outcomeClaimId && it.key == key }?.outcome
    }

    private fun isStillPending(pending: ClaimDecision.Pending): Boolean = nowMs() <= pending.expectedByMs + CLOCK_SLACK_MS &&
        (pending.claimant == self || peers.livePeers().any { it.id == pending.claimant })

    private fun shardOf(key: ClaimKey): ClaimShard = shard(settings.shards.streamOf(key))

    private fun shard(stream: String): ClaimShard =
        shards.computeIfAbsent(stream) { ClaimShard(it, log, settings, limits, workers, metrics, nowMs) }

    /** Returns the other instance that owns the shard of [key], or null if this instance must append itself. */
    private fun ownerOf(key: ClaimKey): InstanceId? = ownerOf(settings.shards.streamOf(key), key.service)

    private fun ownerOf(stream: String, service: String): InstanceId? {
        val home = homeRegion(service)
        val candidates =
            peers.livePeers().filter { it.region == home }.map { it.id } + if (region == home) listOf(self) else emptyList()
        return settings.shards.ownerOf(stream, candidates)?.takeIf { it != self }
    }

    override fun close() {
        workers.close()
    }

    private companion object {
        // Share of the request timeout that the owner may use, so that its answer arrives before the request times out.
        const val OWNER_PERCENT = 80
        const val PERCENT = 100

        // Maximum difference between this instance's clock and the log's clock. It only selects the answer that a caller gets.
        const val CLOCK_SLACK_MS = 5_000L
        val LOG = LoggerFactory.getLogger(ClaimService::class.java)
    }
}
