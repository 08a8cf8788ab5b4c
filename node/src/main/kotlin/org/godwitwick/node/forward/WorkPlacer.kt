package org.godwitwick.node.forward

import org.godwitwick.core.forward.CallerWait
import org.godwitwick.core.forward.EngineProfile
import org.godwitwick.core.forward.PauseTargets
import org.godwitwick.core.forward.Placement
import org.godwitwick.core.forward.PlacementDemand
import org.godwitwick.core.forward.PlacementRule
import org.godwitwick.core.forward.PrefillForecast
import org.godwitwick.core.forward.PrefillStart
import org.godwitwick.core.forward.PrefillStartRule
import org.godwitwick.core.forward.RequestSize
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.UpstreamView
import org.godwitwick.core.model.InstanceId
import kotlin.random.Random

/**
 * A request to be placed.
 *
 * @property size size in tokens, or null for requests to plain services.
 * @property wait the caller's wait for the answer, or for the next event of a stream.
 * @property pauses the longest allowed pauses of the service's streams, or null if it has none.
 */
data class ForwardDemand(val size: RequestSize?, val wait: CallerWait, val isStreaming: Boolean, val pauses: PauseTargets?)

/** Decision on a [ForwardDemand]. */
sealed interface PlacementDecision {
    /** The request is sent as [work] says. */
    data class Send(val work: PlacedWork) : PlacementDecision

    /**
     * The engines have too much prefill pending for a prefill as in [forecast]; the request is placed again a little later.
     *
     * @property engines the engines on which it would be placed.
     */
    data class Wait(val forecast: PrefillForecast, val engines: Set<InstanceId> = emptySet()) : PlacementDecision

    /** The request cannot be answered in time; the engines may take it after [retryAfterMs]. */
    data class Reject(val retryAfterMs: Long) : PlacementDecision

    /** All upstreams state limits that are used up; this instance may send again after [retryAfterMs], or null if that is unknown. */
    data class Limited(val retryAfterMs: Long?) : PlacementDecision

    /** No upstream can take the request. */
    data object NoUpstream : PlacementDecision
}

/**
 * Places requests by the work that this instance has sent and that the other instances have reported.
 *
 * @param instanceCount returns the number of instances of the fleet, or null until it is known.
 */
class WorkPlacer(
    private val rule: PlacementRule,
    private val loads: UpstreamLoads,
    private val peerLoads: PeerLoads,
    private val random: Random,
    private val instanceCount: () -> Int?,
    private val startRule: PrefillStartRule = PrefillStartRule(),
) {
    /** Places [demand] on some of [candidates]. [engine] is null for plain services. */
    fun place(demand: ForwardDemand, engine: EngineProfile?, candidates: List<UpstreamEntry>, nowMs: Long): PlacementDecision {
        val others = peerLoads.at(nowMs)
        val views = candidates.shuffled(random).map { viewOf(it, others, nowMs) }
        val placement = placementOf(demand, engine, views, knownShare(others)) ?: return PlacementDecision.NoUpstream
        val isShortStream = demand.isStreaming && demand.size?.isShort != false
        val engineIds = placement.helpers.mapTo(hashSetOf(placement.upstream.id)) { it.upstream.id }
        val queuedPrefillMs = views.filter { it.entry.id in engineIds }.associate { it.entry.id to it.work.pendingPrefillMs }
        val prefillMs = prefillMsOf(demand, engine, placement)
        val work = PlacedWork(placement, prefillMs, heldTokensOf(demand, placement), isShortStream, queuedPrefillMs)
        if (demand.size?.isShort != false) return PlacementDecision.Send(work)
        val forecast = PrefillForecast(prefillMs, queuedPrefillMs.values.maxOrNull() ?: 0.0)
        return when (val start = startRule.decide(demand.wait, forecast, nowMs)) {
            is PrefillStart.Begin -> PlacementDecision.Send(work)
            is PrefillStart.Wait -> PlacementDecision.Wait(forecast, engineIds)
            is PrefillStart.Reject -> PlacementDecision.Reject(start.retryAfterMs)
        }
    }

    /** Whether one of [engines] is known to have unfinished prefills at [nowMs]. */
    fun isPrefilling(engines: List<UpstreamEntry>, nowMs: Long): Boolean {
        if (engines.any { loads.workAt(it, nowMs).pendingPrefillMs > 0 }) return true
        val others = peerLoads.at(nowMs)
        return engines.any { others.workAt(it).pendingPrefillMs > 0 }
    }

    private fun placementOf(
        demand: ForwardDemand,
        engine: EngineProfile?,
        views: List<UpstreamView>,
        knownShare: Double,
    ): Placement? {
        val size = demand.size
        if (engine == null || size == null || demand.pauses == null) return rule.place(views)
        return rule.place(PlacementDemand(size, demand.wait.targetMs, demand.pauses), engine, views, knownShare)
    }

    private fun viewOf(entry: UpstreamEntry, others: PeerWork, nowMs: Long): UpstreamView {
        val work = loads.workAt(entry, nowMs) + others.workAt(entry)
        return UpstreamView(entry, work, loads.penaltyOf(entry, nowMs))
    }

    // Share of the fleet's instances whose work is known, this one included; zero until the size of the fleet is known.
    private fun knownShare(others: PeerWork): Double =
        instanceCount()?.let { ((1.0 + others.instances) / it).coerceAtMost(1.0) } ?: 0.0

    private fun prefillMsOf(demand: ForwardDemand, engine: EngineProfile?, placement: Placement): Double {
        val tokens = demand.size?.promptTokens ?: return 0.0
        return (engine?.prefillMs(tokens) ?: 0.0) / (placement.helpers.size + 1)
    }

    private fun heldTokensOf(demand: ForwardDemand, placement: Placement): Long {
        val size = demand.size ?: return 0
        return (size.kvTokens - placement.helpers.sumOf { it.reservedTokens }).coerceAtLeast(0)
    }
}
