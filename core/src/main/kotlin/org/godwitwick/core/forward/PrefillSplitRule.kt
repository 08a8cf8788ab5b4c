package org.godwitwick.core.forward

import kotlin.math.ceil
import kotlin.math.pow

/**
 * Chooses the engines that compute the prefill of a long prompt in equal parts.
 *
 * Two load patterns need opposite choices. Among many short streams, a long part stalls the streams of each engine that takes
 * part, so the parts must be too short to cause a noticeable pause, or else few engines must take part. In a burst of long
 * prompts there are few short streams, and all engines are needed for prefill. For each possible number of engines the rule adds
 * the cost of the streams that would be late and the cost of the prompt itself being late, and takes the minimum. The unit of
 * cost is one short request.
 */
class PrefillSplitRule(private val settings: PrefillSplitSettings = PrefillSplitSettings()) {
    /**
     * Returns the engines among [candidates] for the prefill of [demand], at least [minEngines] of them if there are as many.
     *
     * @param shared engines to which short requests are currently sent.
     */
    fun chooseEngines(
        demand: PlacementDemand,
        profile: EngineProfile,
        candidates: List<UpstreamView>,
        shared: Set<UpstreamView>,
        minEngines: Int = 1,
    ): List<UpstreamView> {
        val totalMs = profile.prefillMs(demand.size.promptTokens)
        val stallLimits = StallLimits(stallMsOf(demand.pauses.shortMs, profile), stallMsOf(demand.pauses.longMs, profile))
        val maxCount = minOf(settings.maxEngines, candidates.size)
        // At least as many engines as are needed to finish the prefill within the target.
        val neededForTarget = ceil(totalMs / demand.targetMs.coerceAtLeast(1)).toInt()
        val minCount = maxOf(minEngines, neededForTarget).coerceIn(1, maxCount)
        val pausedAlready =
            DoubleArray(candidates.size) { pausedStreams(candidates[it], stallLimits, addedMs = 0.0, candidates[it] in shared) }
        return (minCount..maxCount).map { count ->
            choice(demand, stallLimits, totalMs / count, count, candidates, pausedAlready, shared)
        }.minBy { it.cost }.engines
    }

    // Prefill times in one pass above which a short and a long stream pause for too long, in milliseconds.
    private class StallLimits(val shortMs: Double, val longMs: Double)

    private fun stallMsOf(pauseMs: Double, profile: EngineProfile) = maxOf(pauseMs - profile.passMs, settings.minStallMs)

    private class Choice(val engines: List<UpstreamView>, val cost: Double)

    private fun choice(
        demand: PlacementDemand,
        stallLimits: StallLimits,
        partMs: Double,
        count: Int,
        candidates: List<UpstreamView>,
        pausedAlready: DoubleArray,
        shared: Set<UpstreamView>,
    ): Choice {
        val cheapest = LowestCosts(count)
        // Streams that pause for too long because of the added part, without those that already do because of pending prefill.
        val stallCosts = DoubleArray(candidates.size) { index ->
            val view = candidates[index]
            val stallCost = pausedStreams(view, stallLimits, partMs, view in shared) - pausedAlready[index]
            cheapest.offer(index, stallCost + waitMs(view) / settings.msPerRequest)
            stallCost
        }
        val chosen = cheapest.indices
        val finishMs = partMs + chosen.maxOf { waitMs(candidates[it]) }
        val cost = chosen.sumOf { stallCosts[it] } + latenessCostOf(demand, finishMs) + settings.engineCost * count
        return Choice(chosen.map { candidates[it] }, cost)
    }

    // Streams that pause for too long if [addedMs] of prefill are added to what is pending, in short requests.
    private fun pausedStreams(view: UpstreamView, limits: StallLimits, addedMs: Double, isShared: Boolean): Double {
        val short = view.work.shortStreams + if (isShared) settings.expectedSharedStreams else settings.expectedOtherStreams
        val long = view.work.running - view.work.shortStreams
        val pendingMs = view.work.pendingPrefillMs + addedMs
        val pausedLong = if (long == 0) 0.0 else long * stallChance(pendingMs, limits.longMs)
        return short * stallChance(pendingMs, limits.shortMs) + pausedLong * settings.longStreamValue
    }

    // Probability that a stream pauses for too long. It rises steeply near the limit, where other prefills in the pass decide.
    private fun stallChance(pendingMs: Double, limitMs: Double): Double =
        if (pendingMs >= limitMs) 1.0 else (pendingMs / limitMs).pow(settings.stallSteepness)

    private fun latenessCostOf(demand: PlacementDemand, finishMs: Double): Double {
        val share = finishMs / demand.targetMs.coerceAtLeast(1)
        val late = ((share - settings.safeTargetShare) / (1 - settings.safeTargetShare)).coerceAtLeast(0.0)
        val value = demand.size.promptTokens / settings.tokensPerRequest
        return value * (late.coerceAtMost(settings.maxLateness) + share * settings.earlinessValue)
    }

    private fun waitMs(view: UpstreamView): Double = view.work.pendingPrefillMs + view.penaltyMs
}

/**
 * Settings of [PrefillSplitRule].
 *
 * @property maxEngines maximum number of engines for one prefill: the first and the 16 helpers that the platform allows.
 * @property minStallMs lower bound of the prefill time in one pass above which a stream pauses for too long, in milliseconds.
 * @property stallSteepness exponent of the stall probability below that prefill time.
 * @property longStreamValue value of a long stream in short requests; the prefill of a long stream that is late was wasted.
 * @property expectedSharedStreams expected number of short streams that arrive at a shared engine during the prefill.
 * @property expectedOtherStreams the same number for an engine that is not shared.
 * @property tokensPerRequest number of prompt tokens whose answer is worth as much as one short request.
 * @property safeTargetShare fraction of the target up to which the first event is not at risk of being late.
 * @property maxLateness upper bound of the lateness that is counted, as a multiple of the value of the prompt.
 * @property earlinessValue fraction of the value that is gained if the first event comes immediately instead of at its target.
 * @property engineCost cost of each additional engine in short requests, because each adds a possible failure.
 * @property msPerRequest waiting time of an engine that counts as much as one short request when engines are ranked, in
 *   milliseconds.
 */
data class PrefillSplitSettings(
    val maxEngines: Int = 17,
    val minStallMs: Double = 50.0,
    val stallSteepness: Double = 5.0,
    val longStreamValue: Double = 6.0,
    val expectedSharedStreams: Double = 2.0,
    val expectedOtherStreams: Double = 0.05,
    val tokensPerRequest: Double = 5_000.0,
    val safeTargetShare: Double = 0.2,
    val maxLateness: Double = 1.5,
    val earlinessValue: Double = 0.1,
    val engineCost: Double = 0.01,
    val msPerRequest: Double = 100.0,
)
