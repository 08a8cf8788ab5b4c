package org.godwitwick.core.forward

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
