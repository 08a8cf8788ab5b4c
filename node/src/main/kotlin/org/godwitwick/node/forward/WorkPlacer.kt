package org.godwitwick.node.forward

import org.godwitwick.core.forward.CallerWait
import org.godwitwick.core.forward.EngineProfile
import org.godwitwick.core.forward.PauseTargets
import org.godwitwick.core.forward.Placement
import org.godwitwick.core.forward.PlacementCandidates
import org.godwitwick.core.forward.PlacementDemand
import org.godwitwick.core.forward.PlacementRule
import org.godwitwick.core.forward.PrefillForecast
import org.godwitwick.core.forward.PrefillStart
import org.godwitwick.core.forward.PrefillStartRule
import org.godwitwick.core.forward.PrefixHolder
import org.godwitwick.core.forward.RankedDecision
import org.godwitwick.core.forward.RankedDemand
import org.godwitwick.core.forward.RankedInputs
import org.godwitwick.core.forward.RankedPlacementRule
import org.godwitwick.core.forward.RequestSize
import org.godwitwick.core.forward.StatedRank
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.UpstreamList
import org.godwitwick.core.forward.UpstreamView
import org.godwitwick.core.forward.UpstreamWork
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.prefix.PromptPrefix
import kotlin.random.Random

/**
 * A request to be placed.
 *
 * @property size size in tokens, or null for requests to plain services.
 * @property wait the caller's wait for the answer, or for the next event of a stream.
 * @property pauses the longest allowed pauses of the service's streams, or null if it has none.
 * @property rank rank of the request, or null if the service is not contended by rank.
 * @property prefixes beginnings of the prompt that other prompts may have as well, shortest first.
 */
data class ForwardDemand(
    val size: RequestSize?,
    val wait: CallerWait,
    val isStreaming: Boolean,
    val pauses: PauseTargets?,
    val rank: StatedRank? = null,
    val prefixes: List<PromptPrefix> = emptyList(),
)

/** Decision on a [ForwardDemand]. */
sealed interface PlacementDecision {
    /** The request is sent as [work] says; [inputs] are those of a decision by rank. */
    data class Send(val work: PlacedWork, val inputs: RankedInputs? = null) : PlacementDecision

    /**
     * The engines have too much prefill pending for a prefill as in [forecast]; the request is placed again a little later.
     *
     * @property inputs those of a decision by rank.
     * @property engines the engines on which it would be placed, as far as the decision knows them.
     */
    data class Wait(val forecast: PrefillForecast, val inputs: RankedInputs? = null, val engines: Set<InstanceId> = emptySet()) :
        PlacementDecision

    /** The request cannot be answered in time; the engines may take it after [retryAfterMs]. */
    data class Reject(val retryAfterMs: Long) : PlacementDecision

    /** All upstreams state limits that are used up; this instance may send to them again after [waitsMs], as far as that is known. */
    data class Limited(val waitsMs: List<Long>) : PlacementDecision

    /** No upstream can take the request. */
    data object NoUpstream : PlacementDecision
}

/**
 * Places requests by the work that this instance has sent and that the other instances have reported.
 *
 * @param instanceCount returns the number of instances of the fleet, or null until it is known.
 * @param keptPrompts what the upstreams hold of earlier prompts, or null if they keep none.
 */
class WorkPlacer(
    private val rule: PlacementRule,
    private val loads: UpstreamLoads,
    private val peerLoads: PeerLoads,
    private val instanceCount: () -> Int?,
    private val startRule: PrefillStartRule = PrefillStartRule(),
    private val rankedRule: RankedPlacementRule = RankedPlacementRule(Random.Default),
    private val keptPrompts: KeptPrompts? = null,
) {
    /** Places [demand] on some of [candidates]. [engine] is null for plain services. */
    fun place(demand: ForwardDemand, engine: EngineProfile?, candidates: UpstreamList, nowMs: Long): PlacementDecision {
        val known = KnownCandidates(candidates, peerLoads.at(nowMs), nowMs, demand, engine)
        // Short prompts are placed as in services without ranks: in a large fleet, the arrivals that are not reported yet queue at the few
        // engines that a level shares.
        if (demand.rank != null && demand.size?.isShort == false && engine != null) {
            return placeRanked(demand, RankedDemand(demand.size, demand.wait, demand.rank), engine, known)
        }
        val placement = placementOf(demand, engine, known) ?: return PlacementDecision.NoUpstream
        val work = workOf(demand, engine, placement, known, demand.size?.isShort != false)
        if (demand.size?.isShort != false) return PlacementDecision.Send(work)
        val forecast = PrefillForecast(work.prefillMs, work.queuedPrefillMs.values.maxOrNull() ?: 0.0)
        return when (val start = startRule.decide(demand.wait, forecast, nowMs)) {
            is PrefillStart.Begin -> PlacementDecision.Send(work)
            is PrefillStart.Wait -> PlacementDecision.Wait(forecast, engines = work.queuedPrefillMs.keys)
            is PrefillStart.Reject -> PlacementDecision.Reject(start.retryAfterMs)
        }
    }

    private fun placeRanked(
        demand: ForwardDemand,
        ranked: RankedDemand,
        engine: EngineProfile,
        known: KnownCandidates,
    ): PlacementDecision {
        val views = List(known.size, known::viewAt)
        return when (val decision = rankedRule.place(ranked, engine, views, knownShare(known.others), known.nowMs)) {
            is RankedDecision.Send -> {
                val work = workOf(demand, engine, decision.placement, known, ranked.isShort(engine))
                PlacementDecision.Send(work, decision.inputs)
            }

            is RankedDecision.Wait -> PlacementDecision.Wait(decision.inputs.forecast, decision.inputs, decision.engines)

            is RankedDecision.Reject -> PlacementDecision.Reject(decision.retryAfterMs)

            is RankedDecision.NoUpstream -> PlacementDecision.NoUpstream
        }
    }

    private fun workOf(
        demand: ForwardDemand,
        engine: EngineProfile?,
        placement: Placement,
        known: KnownCandidates,
        isShort: Boolean,
    ): PlacedWork {
        val engines = placement.helpers.map { it.upstream } + placement.upstream
        return PlacedWork(
            placement,
            prefillMsOf(demand, engine, placement),
            heldTokensOf(demand, placement),
            isShortStream = demand.isStreaming && isShort,
            queuedPrefillMs = engines.associate { it.id to known.workAt(it).pendingPrefillMs },
            level = demand.rank?.level.takeIf { demand.isStreaming },
            isLongPrompt = demand.size != null && !isShort,
        )
    }

    /** Whether one of [engines] is known to have unfinished prefills at [nowMs]. */
    fun isPrefilling(engines: List<UpstreamEntry>, nowMs: Long): Boolean {
        if (engines.any { loads.workAt(it, nowMs).pendingPrefillMs > 0 }) return true
        val others = peerLoads.at(nowMs)
        return engines.any { others.workAt(it).pendingPrefillMs > 0 }
    }

    private fun placementOf(demand: ForwardDemand, engine: EngineProfile?, candidates: KnownCandidates): Placement? {
        val size = demand.size
        if (engine == null || size == null || demand.pauses == null) return rule.place(candidates)
        val placed = PlacementDemand(size, demand.wait.targetMs, demand.pauses)
        return rule.place(placed, engine, candidates, knownShare(candidates.others))
    }

    /** [upstreams] with the work that is known of them at [nowMs]. */
    private inner class KnownCandidates(
        val upstreams: UpstreamList,
        val others: PeerWork,
        val nowMs: Long,
        private val demand: ForwardDemand,
        private val engine: EngineProfile?,
    ) : PlacementCandidates {
        override val size: Int get() = upstreams.size
        override val shortStreams: Int get() = loads.shortStreamsAt(upstreams) + others.shortStreamsAt(upstreams)

        override fun viewAt(index: Int): UpstreamView = viewOf(upstreams[index])

        override fun holders(): List<PrefixHolder> {
            if (keptPrompts == null || engine == null || demand.size == null) return emptyList()
            return keptPrompts.holders(demand.prefixes, demand.size.kvTokens, engine, nowMs) { upstreams.find(it)?.let(::viewOf) }
        }

        private fun viewOf(entry: UpstreamEntry) = UpstreamView(entry, workAt(entry), loads.penaltyOf(entry, nowMs))

        fun workAt(entry: UpstreamEntry): UpstreamWork = loads.workAt(entry, nowMs) + others.workAt(entry)
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
