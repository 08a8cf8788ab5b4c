package org.godwitwick.core.forward

import kotlin.math.ceil
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
        val reservedCount = reserve.engines(rank, profile, candidates, nowMs)
        // Engines at the start of the order that the streams of the levels before, and of those up to the level of the demand, need.
        val limit = order.size - reservedCount
        val outrankingEnd = minOf(enginesFor(order, rank.ranks, rank.level, knownShare, profile), limit)
        val levelEnd = maxOf(outrankingEnd, minOf(enginesFor(order, rank.ranks, rank.level + 1, knownShare, profile), limit))
        val layout = Layout(order, outrankingEnd, levelEnd, limit)
        return if (demand.isShort(profile)) {
            RankedDecision.Send(Placement(shortEngine(demand, profile, layout, nowMs).entry, emptyList()))
        } else {
            placeLong(demand, profile, layout, nowMs)
        }
    }

    // [order] up to [outrankingEnd] belongs to streams that outrank the demand, up to [levelEnd] to those of its own level, and from
    // [limit] on to lower ranks.
    private class Layout(val order: List<UpstreamView>, val outrankingEnd: Int, val levelEnd: Int, val limit: Int)

    private fun enginesFor(
        order: List<UpstreamView>,
        ranks: ServiceRanks,
        level: Int,
        knownShare: Double,
        profile: EngineProfile,
    ): Int {
        if (level <= 0 || knownShare <= 0.0) return 0
        val streams = order.sumOf { outranking(it.work, level, ranks) } / knownShare
        return ceil(streams / (profile.slots * settings.streamShare)).toInt() + settings.spareEngines
    }

    private fun shortEngine(demand: RankedDemand, profile: EngineProfile, layout: Layout, nowMs: Long): UpstreamView {
        fun cost(view: UpstreamView) = shortCostMs(view, demand, profile, nowMs)
        val home = if (layout.levelEnd > layout.outrankingEnd) {
            layout.order.subList(layout.outrankingEnd, layout.levelEnd)
        } else {
            layout.order
        }
        // Other instances' latest placements are not known yet; a random sample keeps instances from choosing the same engine.
        val best = sample(home, settings.sampleSize).minBy(::cost)
        if (cost(best) < LATE_COST_MS) return best
        val open = layout.order.subList(0, layout.limit)
        val other = sample(open, settings.maxCompared).minBy(::cost)
        if (cost(other) < LATE_COST_MS || layout.limit == layout.order.size) return if (cost(other) < cost(best)) other else best
        // The engines that are left to lower ranks are used only if they are idle, so that a burst cannot occupy them.
        val idle = layout.order.subList(layout.limit, layout.order.size).filter { it.work.running == 0 && it.work.helping == 0 }
        return (sample(idle, settings.sampleSize) + other + best).minBy(::cost)
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
            view.work.pendingPrefillMs + ownMs + profile.passMs > demand.rank.ranks.pauseMsOf(demand.rank.level) ||
            stallsOutranking(view, demand.rank, ownMs, profile)
        return waitMs + settings.runningRequestMs * view.work.running + if (isLate) LATE_COST_MS else 0.0
    }

    // Whether a prefill of [partMs] makes streams that outrank [rank] pause beyond their target.
    private fun stallsOutranking(view: UpstreamView, rank: StatedRank, partMs: Double, profile: EngineProfile): Boolean {
        if (outranking(view.work, rank.level, rank.ranks) == 0) return false
        val limitMs = rank.ranks.smallestPauseMs(rank.level - 1) - profile.passMs
        return view.work.pendingPrefillMs + partMs > limitMs
    }

    private fun placeLong(demand: RankedDemand, profile: EngineProfile, layout: Layout, nowMs: Long): RankedDecision {
        val totalMs = profile.prefillMs(demand.size.promptTokens)
        val partTokens = (profile.kvCapacityTokens * settings.partMemoryShare).toLong()
        val isSplit = demand.size.kvTokens > profile.kvCapacityTokens * settings.singleMemoryShare
        val minCount = if (isSplit) ceil(demand.size.kvTokens.toDouble() / partTokens).toInt() else 1
        if (minCount > minOf(settings.maxEngines, layout.order.size)) return RankedDecision.NoUpstream
        val free = layout.order.subList(layout.outrankingEnd, layout.order.size)
            .filter {
                outranking(it.work, demand.rank.level, demand.rank.ranks) == 0 &&
                    it.work.helping < profile.slots - FREE_HELP_SLOTS
            }
        val usable = free.shuffled(random).take(maxOf(settings.maxEngines * 2, free.size / 2))
        val isLowest = demand.rank.level == demand.rank.ranks.levels - 1
        val position = layout.order.withIndex().associate { (i, v) -> v to settings.positionMs * (if (isLowest) layout.order.size - i else i) / layout.order.size }
        val remainingMs = demand.remainingMs(nowMs) * settings.targetShare - profile.passMs
        val maxCount = minOf(settings.maxEngines, usable.size)
        val ownLimitMs = (demand.rank.ranks.pauseMsOf(demand.rank.level) - profile.passMs) * settings.partShare
        val wanted = maxOf(minCount, ceil(totalMs / ownLimitMs).toInt()).coerceAtMost(maxOf(minCount, maxCount))
        val choices = ((wanted..maxCount) + (minCount until wanted).reversed()).asSequence().map { choose(it, totalMs / it, demand, profile, usable, isSplit, position) }
        val inTime = choices.filterNotNull().filter { it.partMs + settings.backlogWeight * it.backlogMs <= remainingMs }
        val harmless = inTime.firstOrNull { it.stalled == 0 }
        if (harmless != null) return RankedDecision.Send(placementOf(harmless, demand, isSplit))
        val shortestMs = totalMs / settings.maxEngines
        val forecast = PrefillForecast(shortestMs, usable.minOfOrNull { waitMs(it) } ?: 0.0)
        val mayWait = shortestMs + settings.reserveMs <= remainingMs
        val choice = if (mayWait) null else inTime.minByOrNull { it.stalled }
        if (choice != null) return RankedDecision.Send(placementOf(choice, demand, isSplit))
        if (shortestMs <= remainingMs) return RankedDecision.Wait(forecast)
        return placeLate(demand, isSplit, choices.filterNotNull(), forecast, nowMs)
    }

    // Uses as few engines as the caller's patience allows, once they are almost idle or the caller is about to leave.
    private fun placeLate(
        demand: RankedDemand,
        isSplit: Boolean,
        choices: Sequence<Choice>,
        forecast: PrefillForecast,
        nowMs: Long,
    ): RankedDecision {
        val leavesInMs = demand.wait.leavesAtMs - nowMs - settings.answerMs
        if (forecast.partMs > leavesInMs) return RankedDecision.Reject(forecast.backlogMs.toLong())
        val possible = choices.filter { it.partMs + it.backlogMs <= leavesInMs }
        val idle = possible.firstOrNull { it.backlogMs <= settings.idleBacklogMs && it.stalled == 0 }
        if (idle != null) return RankedDecision.Send(placementOf(idle, demand, isSplit))
        if (leavesInMs > settings.lastCallMs + forecast.partMs) return RankedDecision.Wait(forecast)
        return possible.minByOrNull { it.stalled }?.let { RankedDecision.Send(placementOf(it, demand, isSplit)) }
            ?: RankedDecision.Wait(forecast)
    }

    private class Choice(val engines: List<UpstreamView>, val partMs: Double, val backlogMs: Double, val stalled: Int)

    private fun choose(
        count: Int,
        partMs: Double,
        demand: RankedDemand,
        profile: EngineProfile,
        usable: List<UpstreamView>,
        isSplit: Boolean,
        position: Map<UpstreamView, Double>,
    ): Choice? {
        val heldTokens = if (isSplit) demand.size.kvTokens / count + 1 else 0
        val fitting = usable.filter { it.work.heldTokens + heldTokens <= profile.kvCapacityTokens }
        if (fitting.size < count) return null
        val engines = fitting.sortedBy { waitMs(it) + position.getValue(it) + settings.stalledStreamMs * stalled(it, demand.rank, partMs, profile)
        }.take(count)
        return Choice(engines, partMs, engines.maxOf(::waitMs), engines.sumOf { stalled(it, demand.rank, partMs, profile) })
    }

    // Streams of the same level that would pause beyond their target. Those of lower levels may be delayed.
    private fun stalled(view: UpstreamView, rank: StatedRank, partMs: Double, profile: EngineProfile): Int {
        val limitMs = rank.ranks.pauseMsOf(rank.level) - profile.passMs
        return if (view.work.pendingPrefillMs + partMs > limitMs) view.work.levels[rank.level] else 0
    }

    // The engine with the fewest requests answers; if the prompt does not fit into its memory, the others hold equal parts of it.
    private fun placementOf(choice: Choice, demand: RankedDemand, isSplit: Boolean): Placement {
        val first = choice.engines.minBy { it.work.running }
        val reservedTokens = if (isSplit) demand.size.kvTokens / choice.engines.size else 0
        return Placement(first.entry, choice.engines.filter { it !== first }.map { Helper(it.entry, reservedTokens) })
    }

    private fun waitMs(view: UpstreamView): Double = view.work.pendingPrefillMs + view.penaltyMs

    private companion object {
        /** Help slots per engine left free for placements of other instances that are not known here yet. */
        const val FREE_HELP_SLOTS = 3

        /** Cost of an engine on which the request or a stream would be late; more than any wait. */
        const val LATE_COST_MS = 1e6
    }
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

/** Decision of [RankedPlacementRule]. */
sealed interface RankedDecision {
    /** The request is sent to [placement]. */
    data class Send(val placement: Placement) : RankedDecision

    /** The request waits at its instance for engines that could do the prefill as in [forecast]. */
    data class Wait(val forecast: PrefillForecast) : RankedDecision

    /** The request cannot be answered before its caller leaves; the engines may take it after [retryAfterMs]. */
    data class Reject(val retryAfterMs: Long) : RankedDecision

    /** No engines can hold the request. */
    data object NoUpstream : RankedDecision
}

/**
 * Settings of [RankedPlacementRule].
 *
 * @property maxEngines maximum number of engines for one prompt: the first and the 16 helpers that the platform allows.
 * @property streamShare fraction of an engine's slots that streams fill before one more engine is shared.
 * @property spareEngines engines beyond those, for arrivals that are not known yet.
 * @property sampleSize number of shared engines that are compared for a short prompt.
 * @property maxCompared number of engines that are compared if a short prompt would be late on all of the first sample. If a tenth of the
 *   engines is free, all of 48 are busy in one of 150 cases.
 * @property queuedRequestMs cost of each request that waits for a slot: the time in which a slot becomes free.
 * @property runningRequestMs cost of a running request, in milliseconds of prefill.
 * @property targetShare fraction of the remaining time that a prefill may take by its forecast.
 * @property backlogWeight how much more a millisecond of backlog counts against the target than one of the prompt's own prefill.
 * @property stalledStreamMs wait that counts as much as a stream of the same level that pauses beyond its target, in milliseconds.
 * @property idleBacklogMs backlog up to which engines count as idle.
 * @property answerMs time for the answer after the first event, in milliseconds.
 * @property lastCallMs time before the latest possible start at which a late prompt begins in any case, in milliseconds.
 * @property singleMemoryShare fraction of an engine's KV cache up to which a request is held by a single engine.
 * @property partMemoryShare largest fraction of an engine's KV cache that a part of a larger request takes.
 * @property maxReserveShare upper bound of the fraction of the engines that is left to lower ranks.
 */
data class RankedPlacementSettings(
    val maxEngines: Int = System.getProperty("maxEngines")?.toInt() ?: 17,
    val streamShare: Double = System.getProperty("streamShare")?.toDouble() ?: 0.6,
    val spareEngines: Int = System.getProperty("spareEngines")?.toInt() ?: 2,
    val sampleSize: Int = System.getProperty("sampleSize")?.toInt() ?: 4,
    val maxCompared: Int = System.getProperty("maxCompared")?.toInt() ?: 48,
    val queuedRequestMs: Double = System.getProperty("queuedRequestMs")?.toDouble() ?: 200.0,
    val runningRequestMs: Double = System.getProperty("runningRequestMs")?.toDouble() ?: 10.0,
    val targetShare: Double = System.getProperty("targetShare")?.toDouble() ?: 0.85,
    val backlogWeight: Double = System.getProperty("backlogWeight")?.toDouble() ?: 1.0,
    val stalledStreamMs: Double = System.getProperty("stalledStreamMs")?.toDouble() ?: 2_000.0,
    val idleBacklogMs: Double = System.getProperty("idleBacklogMs")?.toDouble() ?: 100.0,
    val answerMs: Double = System.getProperty("answerMs")?.toDouble() ?: 1_000.0,
    val lastCallMs: Double = System.getProperty("lastCallMs")?.toDouble() ?: 1_500.0,
    val singleMemoryShare: Double = System.getProperty("singleMemoryShare")?.toDouble() ?: 0.8,
    val partMemoryShare: Double = System.getProperty("partMemoryShare")?.toDouble() ?: 0.6,
    val positionMs: Double = System.getProperty("positionMs")?.toDouble() ?: 300.0,
    val partShare: Double = System.getProperty("partShare")?.toDouble() ?: 0.5,
    val reserveMs: Double = System.getProperty("reserveMs")?.toDouble() ?: 500.0,
    val maxReserveShare: Double = System.getProperty("maxReserveShare")?.toDouble() ?: 0.25,
)
