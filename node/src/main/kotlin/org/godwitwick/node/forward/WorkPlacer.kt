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
 * Work to be placed.
 *
 * @property size null for requests to plain services.
 * @property targetMs time to the answer, or to the first event, that the operator aims at.
 */
data class Demand(val size: RequestSize?, val targetMs: Long, val isStreaming: Boolean)

/**
 * Places work by what this instance has sent and what the others have told.
 *
 * @param instanceCount instances of the fleet, or null before they are known.
 */
class WorkPlacer(
    private val rule: PlacementRule,
    private val loads: UpstreamLoads,
    private val peerLoads: PeerLoads,
    private val random: Random,
    private val instanceCount: () -> Int?,
) {
    /** Places [demand] on some of [candidates] at [nowMs]; null when none can take it. [engine] is null for plain services. */
    fun place(demand: Demand, engine: EngineProfile?, candidates: List<UpstreamEntry>, nowMs: Long): PlacedWork? {
        val others = peerLoads.at(nowMs)
        val views = candidates.shuffled(random).map { viewOf(it, others, nowMs) }
        val placement = placementOf(demand, engine, views, knownShare(others)) ?: return null
        val isShortStream = demand.isStreaming && demand.size?.isShort != false
        val members = placement.helpers.mapTo(hashSetOf(placement.upstream.id)) { it.upstream.id }
        val waitMs = views.filter { it.entry.id in members }.associate { it.entry.id to it.work.pendingPrefillMs }
        return PlacedWork(placement, readMsOf(demand, engine, placement), heldTokensOf(demand, placement), isShortStream, waitMs)
    }

    private fun placementOf(demand: Demand, engine: EngineProfile?, views: List<UpstreamView>, knownShare: Double): Placement? {
        val size = demand.size
        if (engine == null || size == null) return rule.place(views)
        return rule.place(PlacementDemand(size, demand.targetMs), engine, views, knownShare)
    }

    private fun viewOf(entry: UpstreamEntry, others: OthersWork, nowMs: Long): UpstreamView {
        val work = loads.workAt(entry, nowMs) + others.workAt(entry)
        return UpstreamView(entry, work, loads.penaltyOf(entry, nowMs))
    }

    // Share of the fleet's instances whose work is known, this one's included; zero before the others are known.
    private fun knownShare(others: OthersWork): Double =
        instanceCount()?.let { ((1.0 + others.instances) / it).coerceAtMost(1.0) } ?: 0.0

    private fun readMsOf(demand: Demand, engine: EngineProfile?, placement: Placement): Double {
        val tokens = demand.size?.promptTokens ?: return 0.0
        return (engine?.prefillMs(tokens) ?: 0.0) / (placement.helpers.size + 1)
    }

    private fun heldTokensOf(demand: Demand, placement: Placement): Long {
        val size = demand.size ?: return 0
        return (size.kvTokens - placement.helpers.sumOf { it.reservedTokens }).coerceAtLeast(0)
    }
}
