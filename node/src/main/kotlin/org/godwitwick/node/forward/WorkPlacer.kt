package org.godwitwick.node.forward

import org.godwitwick.core.forward.EngineProfile
import org.godwitwick.core.forward.Placement
import org.godwitwick.core.forward.PlacementDemand
import org.godwitwick.core.forward.PlacementRule
import org.godwitwick.core.forward.RequestSize
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.UpstreamView
import kotlin.random.Random

/**
 * A request to be placed.
 *
 * @property size size in tokens, or null for requests to plain services.
 * @property targetMs the operator's target for the time to the answer or to the first event, in milliseconds.
 */
data class ForwardDemand(val size: RequestSize?, val targetMs: Long, val isStreaming: Boolean)

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
) {
    /** Places [demand] on some of [candidates]; returns null if they cannot take it. [engine] is null for plain services. */
    fun place(demand: ForwardDemand, engine: EngineProfile?, candidates: List<UpstreamEntry>, nowMs: Long): PlacedWork? {
        val others = peerLoads.at(nowMs)
        val views = candidates.shuffled(random).map { viewOf(it, others, nowMs) }
        val placement = placementOf(demand, engine, views, knownShare(others)) ?: return null
        val isShortStream = demand.isStreaming && demand.size?.isShort != false
        val engineIds = placement.helpers.mapTo(hashSetOf(placement.upstream.id)) { it.upstream.id }
        val queuedPrefillMs = views.filter { it.entry.id in engineIds }.associate { it.entry.id to it.work.pendingPrefillMs }
        return PlacedWork(
            placement,
            prefillMsOf(demand, engine, placement),
            heldTokensOf(demand, placement),
            isShortStream,
            queuedPrefillMs,
        )
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
        if (engine == null || size == null) return rule.place(views)
        return rule.place(PlacementDemand(size, demand.targetMs), engine, views, knownShare)
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
