package org.godwitwick.core.forward

import kotlin.math.ceil
import kotlin.math.pow

/**
 * Chooses the engines that read a long prompt in equal parts.
 *
 * Answers long prompts in two patterns that ask for opposite choices. Among many short streams, one long part stalls the streams of
 * every engine that takes part, so a prompt is read in parts too small to be noticed, or else by few engines. In a burst of long
 * prompts there are few short streams, and all engines have to read. For each number of engines the rule adds up the streams that would
 * become late and the value of the prompt itself if it became late, and takes the least sum. Values are in short requests.
 */
class ReadSplitRule(private val settings: ReadSplitSettings = ReadSplitSettings()) {
    /**
     * The engines among [candidates] that read [demand], at least [least] of them.
     *
     * @param totalMs time in which one engine reads the prompt alone.
     * @param shared engines that short requests are sent to next.
     */
    fun readers(
        demand: PlacementDemand,
        totalMs: Double,
        candidates: List<UpstreamView>,
        shared: Set<UpstreamView>,
        least: Int = 1,
    ): List<UpstreamView> {
        val most = minOf(settings.maxEngines, candidates.size)
        // A prompt that few engines would finish after its target is read by as many as are needed to meet it.
        val inTime = ceil(totalMs / demand.targetMs.coerceAtLeast(1)).toInt()
        val fewest = maxOf(least, inTime).coerceIn(1, most)
        return (fewest..most).map { count ->
            choice(demand, totalMs / count, count, candidates, shared)
        }.minBy { it.cost }.engines
    }

    private class Choice(val engines: List<UpstreamView>, val cost: Double)

    private fun choice(
        demand: PlacementDemand,
        partMs: Double,
        count: Int,
        candidates: List<UpstreamView>,
        shared: Set<UpstreamView>,
    ): Choice {
        val chosen = candidates.map { it to harmOf(it, partMs, it in shared) }
            .sortedBy { (view, harm) -> harm + waitMs(view) / settings.msPerRequest }
            .take(count)
        val finishMs = partMs + chosen.maxOf { (view, _) -> waitMs(view) }
        val cost = chosen.sumOf { it.second } + latenessOf(demand, finishMs) + settings.engineCost * count
        return Choice(chosen.map { it.first }, cost)
    }

    // The streams at an engine that pause for too long because of a part, and did not already because of what is read there now.
    private fun harmOf(view: UpstreamView, partMs: Double, isShared: Boolean): Double {
        val short = view.work.shortStreams + if (isShared) settings.expectedStreams else settings.strayStreams
        val long = view.work.running - view.work.shortStreams
        val beforeMs = view.work.pendingReadMs
        return short * addedStall(beforeMs, partMs, settings.shortStallMs) +
            long * settings.longStreamValue * addedStall(beforeMs, partMs, settings.longStallMs)
    }

    private fun addedStall(beforeMs: Double, partMs: Double, limitMs: Double): Double =
        stall(beforeMs + partMs, limitMs) - stall(beforeMs, limitMs)

    // The chance that a stream pauses for too long rises steeply near the limit, where other reads in the same pass decide.
    private fun stall(readMs: Double, limitMs: Double): Double = (readMs / limitMs).pow(settings.stallSteepness).coerceAtMost(1.0)

    private fun latenessOf(demand: PlacementDemand, finishMs: Double): Double {
        val share = finishMs / demand.targetMs.coerceAtLeast(1)
        val late = ((share - settings.safeTargetShare) / (1 - settings.safeTargetShare)).coerceAtLeast(0.0)
        val value = demand.size.promptTokens / settings.tokensPerRequest
        return value * (late.coerceAtMost(settings.maxLateness) + share * settings.earlinessValue)
    }

    private fun waitMs(view: UpstreamView): Double = view.work.pendingReadMs + view.penaltyMs
}

/**
 * Settings of [ReadSplitRule].
 *
 * @property maxEngines most engines that read one prompt: the first and the 16 helpers that the platform allows.
 * @property shortStallMs reading in one pass after which a short stream pauses for too long: its pause of 250 ms less a pass of 55 ms.
 * @property longStallMs the same for long streams, whose pauses may be 600 ms to 1,000 ms.
 * @property stallSteepness exponent of the chance of a stall below these limits.
 * @property longStreamValue value of a long stream in short requests; a late one has taken the reading of its prompt in vain.
 * @property expectedStreams short streams that arrive at a shared engine while it reads.
 * @property strayStreams the same for any other engine.
 * @property tokensPerRequest prompt tokens whose answer is worth as much as a short request.
 * @property safeTargetShare share of the target up to which a first event isn't in danger of being late.
 * @property maxLateness bound of the lateness that counts, as a multiple of the value.
 * @property earlinessValue part of the value that a first event gains when it comes at once instead of at its target.
 * @property engineCost cost of one more engine, in short requests: each adds a way to fail.
 * @property msPerRequest waiting of an engine that counts as much as one short request when engines are ranked.
 */
data class ReadSplitSettings(
    val maxEngines: Int = 17,
    val shortStallMs: Double = 195.0,
    val longStallMs: Double = 700.0,
    val stallSteepness: Double = 5.0,
    val longStreamValue: Double = 6.0,
    val expectedStreams: Double = 0.5,
    val strayStreams: Double = 0.05,
    val tokensPerRequest: Double = 5_000.0,
    val safeTargetShare: Double = 0.2,
    val maxLateness: Double = 1.5,
    val earlinessValue: Double = 0.1,
    val engineCost: Double = 0.01,
    val msPerRequest: Double = 100.0,
)
