package org.godwitwick.core.forward

import org.godwitwick.core.model.InstanceId
import kotlin.random.Random

/**
 * Selects the engines for requests to a service that is contended by rank.
 *
 * Load pattern: bursts of long prompts of a low rank among short streams of a high one. Spread over all engines, their prefills stall
 * every stream, although these prompts have seconds until their own target. Therefore
 * - a prompt uses engines without streams that outrank it, as few as meet its target, and waits at its instance while there are none and it
 *   can still be in time;
 * - a prompt that outranks others avoids engines whose pending prefill would make its first event or a pause of its stream late.
 *
 * The streams of each level share the first engines of an order that all instances agree on, those of the most urgent level first, so that
 * the others are free of them. A part of the engines at the end of that order is left to lower ranks, see [LowerRankReserve].
 */
class RankedPlacementRule(
    private val random: Random,
    private val settings: RankedPlacementSettings = RankedPlacementSettings(),
    private val reserve: LowerRankReserve = LowerRankReserve(settings),
    private val prefill: RankedPrefillRule = RankedPrefillRule(random, settings),
) {
    /**
     * Decides on [demand] at engines with [profile] at [nowMs], in monotonic time.
     *
     * @param knownShare as in [PlacementRule.place].
     */
    fun place(
        demand: RankedDemand,
        profile: EngineProfile,
        candidates: List<UpstreamView>,
        knownShare: Double,
        nowMs: Long,
    ): RankedDecision {
        if (candidates.isEmpty()) return RankedDecision.NoUpstream
        reserve.onDemand(demand, nowMs)
        val rank = demand.rank
        val order = candidates.sortedBy { it.entry.id.value.hashCode() }

        // No level takes more engines than it leaves to those after it.
        fun engines(level: Int) = minOf(
            enginesFor(order, rank.ranks, level, knownShare, profile),
            order.size - reserve.engines(StatedRank(level - 1, rank.ranks), profile, order, nowMs),
        )
        val outrankingEnd = engines(rank.level)
        val levelEnd = maxOf(outrankingEnd, engines(rank.level + 1))
        val limit = maxOf(levelEnd, order.size - reserve.engines(rank, profile, order, nowMs))
        val layout = RankedLayout(order, outrankingEnd, levelEnd, limit)
        val isShort = demand.isShort(profile)
        return if (isShort) placeShort(demand, profile, layout, nowMs) else prefill.decide(demand, profile, layout, nowMs)
    }

    // Engines at the start of the order that streams of the levels before [level] need.
    private fun enginesFor(
        order: List<UpstreamView>,
        ranks: ServiceRanks,
        level: Int,
        knownShare: Double,
        profile: EngineProfile,
    ): Int {
        if (level <= 0 || knownShare <= 0.0) return 0
        val streams = order.sumOf { outranking(it.work, level, ranks) } / knownShare
        return (streams / (profile.slots * settings.streamShare)).toInt() + maxOf(1, (order.size * settings.spareShare).toInt())
    }

    private fun placeShort(demand: RankedDemand, profile: EngineProfile, layout: RankedLayout, nowMs: Long): RankedDecision {
        val view = shortEngine(layout) { shortCostMs(it, demand, profile, nowMs) }
        val forecast = PrefillForecast(profile.prefillMs(demand.size.promptTokens), view.work.pendingPrefillMs)
        val isLate = shortCostMs(view, demand, profile, nowMs) >= LATE_COST_MS
        return RankedDecision.Send(Placement(view.entry, emptyList()), layout.inputs(demand.rank.level, forecast, isLate))
    }

    private fun shortEngine(layout: RankedLayout, cost: (UpstreamView) -> Double): UpstreamView {
        // Other instances' latest placements are not known yet; a random sample keeps instances from choosing the same engine.
        val best = sample(layout.shared.ifEmpty { layout.open }, settings.sampleSize).minBy(cost)
        if (cost(best) < LATE_COST_MS) return best
        // The first engine that is in time, because the best one would be the choice of all instances until the next report.
        val compared = sample(layout.open, settings.maxCompared).shuffled(random)
        return compared.firstOrNull { cost(it) < LATE_COST_MS } ?: (compared + best).minBy(cost)
    }

    private fun sample(views: List<UpstreamView>, count: Int): List<UpstreamView> =
        if (views.size <= count) views else List(count) { views[random.nextInt(views.size)] }

    private fun shortCostMs(view: UpstreamView, demand: RankedDemand, profile: EngineProfile, nowMs: Long): Double {
        val ownMs = profile.prefillMs(demand.size.promptTokens)
        val queued = (view.work.running - profile.slots + 1).coerceAtLeast(0) * settings.queuedRequestMs
        val waitMs = view.work.pendingPrefillMs + view.penaltyMs + queued
        // The event may have to wait for the end of the pass that runs now.
        val firstEventMs = waitMs + ownMs + profile.passMs
        val isLate = firstEventMs > demand.remainingMs(nowMs) ||
            view.work.heldTokens + demand.size.kvTokens > profile.kvCapacityTokens ||
            view.work.pendingPrefillMs + ownMs + profile.passMs > demand.rank.ranks.pauseMsOf(demand.rank.level) ||
            view.work.pendingPrefillMs + ownMs > outrankingLimitMs(view.work, demand.rank, profile)
        return waitMs + settings.runningRequestMs * view.work.running + if (isLate) LATE_COST_MS else 0.0
    }

    private companion object {
        /** Cost of an engine on which the request or a stream would be late; more than any wait. */
        const val LATE_COST_MS = 1e6
    }
}

/**
 * Largest prefill pending at an engine with [work], in milliseconds, with which the streams that outrank [rank] pause no longer than their
 * target; infinite if there are none.
 */
internal fun outrankingLimitMs(work: UpstreamWork, rank: StatedRank, profile: EngineProfile): Double =
    if (outranking(work, rank.level, rank.ranks) == 0) {
        Double.POSITIVE_INFINITY
    } else {
        rank.ranks.smallestPauseMs(rank.level - 1) - profile.passMs
    }

// Instances of the version before report no levels. Their short streams count as those with the smallest target pause, and their other
// streams as those of the lowest level.
internal fun outranking(work: UpstreamWork, level: Int, ranks: ServiceRanks): Int {
    val unknown = (work.running - work.levels.total).coerceAtLeast(0)
    val known = work.levels.before(level)
    if (unknown == 0) return known
    val short = minOf(unknown, work.shortStreams)
    return known + (if (level > ranks.shortestPauseLevel) short else 0) + if (level >= ranks.levels) unknown - short else 0
}

/**
 * The engines of a service in the order that all instances agree on, as they are divided for a request.
 *
 * @param outrankingEnd engines at the start of [order] that are shared by the streams which outrank the request.
 * @param levelEnd engines at the start that are shared by these and the streams of its own level.
 * @param reservedStart where the engines begin that are left to lower ranks.
 */
class RankedLayout(
    val order: List<UpstreamView>,
    val outrankingEnd: Int,
    private val levelEnd: Int,
    private val reservedStart: Int,
) {
    /** Engines that streams of the request's level share. */
    val shared: List<UpstreamView> get() = order.subList(outrankingEnd, levelEnd)

    /** Engines that are not left to lower ranks. */
    val open: List<UpstreamView> get() = order.subList(0, reservedStart)

    /** Engines that are left to lower ranks. */
    val reserved: List<UpstreamView> get() = order.subList(reservedStart, order.size)

    /** The inputs of a decision for a request of [level] that is expected to go as in [forecast]. */
    fun inputs(level: Int, forecast: PrefillForecast, isLate: Boolean, outranking: Int = outrankingEnd) =
        RankedInputs(level, order.size, outranking, reserved.size, forecast, isLate)
}

/** A request to a service that is contended by rank. */
data class RankedDemand(val size: RequestSize, val wait: CallerWait, val rank: StatedRank) {
    /** Time until its target for the first event, or the next one, in milliseconds; negative after that. */
    fun remainingMs(nowMs: Long): Double = (wait.sinceMs + wait.targetMs - nowMs).toDouble()

    /**
     * Whether its prompt is short: its prefill on one engine with [profile] takes at most half of the shortest pause that its level and
     * those that outrank it allow.
     */
    fun isShort(profile: EngineProfile): Boolean =
        profile.prefillMs(size.promptTokens) <= rank.ranks.smallestPauseMs(rank.level) * SHORT_PAUSE_SHARE

    private companion object {
        const val SHORT_PAUSE_SHARE = 0.5
    }
}

/**
 * What a [RankedDecision] was based on.
 *
 * @property level level of the request.
 * @property engines number of engines of the service that may be used.
 * @property outranking those of [engines] that have streams which outrank the request, or are shared by such streams.
 * @property reserved those of [engines] that are left to lower ranks.
 * @property forecast expected course of its prefill.
 * @property isLate whether the request, or a stream beside it, is expected to miss its target.
 */
data class RankedInputs(
    val level: Int,
    val engines: Int,
    val outranking: Int,
    val reserved: Int,
    val forecast: PrefillForecast,
    val isLate: Boolean,
)

/** Decision of [RankedPlacementRule]. */
sealed interface RankedDecision {
    /** The request is sent to [placement]. */
    data class Send(val placement: Placement, val inputs: RankedInputs) : RankedDecision

    /**
     * The request waits at its instance until engines are free that may do its prefill.
     *
     * @property engines the engines that would be the best ones now; empty if none may do its prefill, or if it is late.
     */
    data class Wait(val inputs: RankedInputs, val engines: Set<InstanceId> = emptySet()) : RankedDecision

    /** The request cannot be answered before its caller leaves; the engines may take it after [retryAfterMs]. */
    data class Reject(val retryAfterMs: Long) : RankedDecision

    /** No engines can hold the request. */
    data object NoUpstream : RankedDecision
}

/**
 * Settings of [RankedPlacementRule] and [RankedPrefillRule]. Those without another reason gave the highest credit of the worst kind in the
 * mix `rbq-small` of `lab burst`.
 *
 * @property maxEngines maximum number of engines for one prompt: the first and the 16 helpers that the platform allows.
 * @property streamShare fraction of an engine's slots that streams fill before one more engine is shared; the rest is left for arrivals
 *   that are not known yet.
 * @property spareShare fraction of all engines that each level shares beyond that, for arrivals at other instances that are not reported yet.
 *   With one spare engine in a fleet of 78, the arrivals of half a second queued at a few engines.
 * @property sampleSize number of shared engines that are compared for a short prompt.
 * @property maxCompared number of engines that are compared if a short prompt would be late on all of the first sample. If a tenth of the
 *   engines is free, all of 48 are busy in one of 150 cases.
 * @property queuedRequestMs cost of each request that waits for a slot: the time in which a slot becomes free.
 * @property runningRequestMs cost of a running request, in milliseconds of prefill.
 * @property targetShare fraction of the remaining time that a prefill may take by its forecast. Engines are slower than forecast while they
 *   also decode, and a prompt that arrives before the report of this one may delay it.
 * @property partShare fraction of the largest harmless part that is tried first, so that two parts fit into one pass.
 * @property stallShare fraction of the target pause of the own level that pending prefill may take; a pass also has to decode.
 * @property besideShare the same fraction for streams that outrank the prompt.
 * @property besideMs wait that counts as much as the presence of such streams.
 * @property positionMs wait that counts as much as the whole length of the order of the engines.
 * @property stalledStreamMs wait that counts as much as a stream of the same level that pauses beyond its target, in milliseconds.
 * @property lastChanceMs time before the latest start in time at which a prompt begins although it delays streams of its level.
 * @property idleBacklogMs backlog up to which engines count as idle.
 * @property answerMs time for the answer after the first event, in milliseconds.
 * @property lastCallMs time before the latest possible start at which a late prompt begins in any case, in milliseconds.
 * @property singleMemoryShare fraction of an engine's KV cache up to which a request is held by a single engine.
 * @property partMemoryShare largest fraction of an engine's KV cache that a part of a larger request takes.
 * @property maxReserveShare upper bound of the fraction of the engines that is left to lower ranks for the memory of their largest prompt.
 * @property maxStreamReserveShare upper bound of the fraction of the engines that is left to lower ranks for the number of their streams.
 */
data class RankedPlacementSettings(
    val maxEngines: Int = 17,
    val streamShare: Double = 0.6,
    val spareShare: Double = 0.125,
    val sampleSize: Int = 3,
    val maxCompared: Int = 48,
    val queuedRequestMs: Double = 200.0,
    val runningRequestMs: Double = 10.0,
    val targetShare: Double = 0.6,
    val stalledStreamMs: Double = 4_000.0,
    val idleBacklogMs: Double = 100.0,
    val answerMs: Double = 1_000.0,
    val lastCallMs: Double = 1_500.0,
    val singleMemoryShare: Double = 0.8,
    val partMemoryShare: Double = 0.6,
    val positionMs: Double = 500.0,
    val partShare: Double = 0.5,
    val stallShare: Double = 0.5,
    val lastChanceMs: Double = 500.0,
    val besideShare: Double = 0.5,
    val besideMs: Double = 100.0,
    val maxReserveShare: Double = 0.5,
    val maxStreamReserveShare: Double = 0.25,
)
