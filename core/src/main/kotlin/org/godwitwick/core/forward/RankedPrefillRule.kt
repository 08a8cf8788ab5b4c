package org.godwitwick.core.forward

import kotlin.math.ceil
import kotlin.random.Random

/**
 * Decides where and when the prefill of a long prompt begins in a service that is contended by rank.
 *
 * Load pattern: long prompts of a low rank at three times their usual rate among streams that outrank them. The prefill uses engines without
 * such streams; beside them it uses only engines where all pending prefill together stays within their target pause. Parts are small enough
 * that a stream of the same level pauses no longer than its target, and otherwise as large as possible, so that the other engines stay free.
 * If no engines allow this, the prompt waits at its instance as long as it can still be in time.
 */
class RankedPrefillRule(private val random: Random, private val settings: RankedPlacementSettings) {
    /** Decides on [demand] at [nowMs], in monotonic time, at the engines of [layout] with [profile]. */
    fun decide(demand: RankedDemand, profile: EngineProfile, layout: RankedLayout, nowMs: Long): RankedDecision {
        val prompt = Prompt(demand, profile, settings)
        val order = layout.order
        val possibleCount = minOf(settings.maxEngines, order.size)
        if (prompt.minEngines > possibleCount) return RankedDecision.NoUpstream
        // A late prompt may use the engines that are shared by streams which outrank it, while there are none of them.
        val isPastTarget = prompt.totalMs / possibleCount > demand.remainingMs(nowMs)
        val sharedEnd = if (isPastTarget) 0 else layout.outrankingEnd
        val allowed = order.mapIndexedNotNull { index, view -> candidateOf(prompt, view, index, sharedEnd, order.size) }
        val candidates = sample(allowed)
        val outranking = order.size - allowed.count { it.limitMs == Double.POSITIVE_INFINITY }
        fun inputs(forecast: PrefillForecast, isLate: Boolean) = layout.inputs(prompt.rank.level, forecast, isLate, outranking)
        fun send(choice: Choice, isLate: Boolean) = RankedDecision.Send(
            prompt.placementOn(choice.engines),
            inputs(PrefillForecast(choice.partMs, choice.backlogMs), isLate),
        )

        val remainingMs = demand.remainingMs(nowMs) * settings.targetShare - profile.passMs
        val choices = ArrayList<Choice>()
        for (count in countsFor(prompt, minOf(possibleCount, candidates.size))) {
            val choice = choose(prompt, count, candidates) ?: continue
            if (choice.isInTime(remainingMs) && choice.stalled == 0) return send(choice, isLate = false)
            choices += choice
        }
        val inTime = choices.filter { it.isInTime(remainingMs) }
        val forecast = PrefillForecast(prompt.totalMs / possibleCount, candidates.minOfOrNull { it.waitMs } ?: 0.0)
        fun waitInTime(): RankedDecision {
            val best = inTime.minByOrNull { it.stalled } ?: choices.minByOrNull { it.partMs + it.backlogMs }
            return RankedDecision.Wait(inputs(forecast, isLate = false), best?.engines.orEmpty().mapTo(HashSet()) { it.entry.id })
        }
        if (forecast.partMs + settings.lastChanceMs <= remainingMs) return waitInTime()
        inTime.minByOrNull { it.stalled }?.let { return send(it, isLate = true) }
        if (forecast.partMs <= remainingMs) return waitInTime()
        val leavesInMs = demand.wait.leavesAtMs - nowMs - settings.answerMs
        if (forecast.partMs > leavesInMs) return RankedDecision.Reject((forecast.backlogMs + forecast.partMs).toLong())
        return lateChoice(choices, forecast, leavesInMs)?.let { send(it, isLate = true) }
            ?: RankedDecision.Wait(inputs(forecast, isLate = true))
    }

    private class Prompt(val demand: RankedDemand, val profile: EngineProfile, settings: RankedPlacementSettings) {
        val rank = demand.rank
        val totalMs = profile.prefillMs(demand.size.promptTokens)
        val isSplit = demand.size.kvTokens > profile.kvCapacityTokens * settings.singleMemoryShare
        val minEngines =
            if (isSplit) ceil(demand.size.kvTokens / (profile.kvCapacityTokens * settings.partMemoryShare)).toInt() else 1

        /** Largest prefill in one pass with which a stream of the same level pauses no longer than its target. */
        val ownLimitMs = (rank.ranks.pauseMsOf(rank.level) - profile.passMs) * settings.stallShare

        /** KV cache that each of [count] engines holds, except that the first one also holds the answer. */
        fun partTokens(count: Int): Long = if (isSplit) demand.size.promptTokens / count else 0

        /** Whether [view] can answer if the prompt is prefilled on [count] engines. */
        fun canAnswer(view: UpstreamView, count: Int): Boolean =
            view.work.heldTokens + demand.size.kvTokens - partTokens(count) * (count - 1) <= profile.kvCapacityTokens

        // The engine with the fewest requests answers; if the prompt does not fit into its memory, the others hold equal parts.
        fun placementOn(engines: List<UpstreamView>): Placement {
            val first = engines.filter { canAnswer(it, engines.size) }.minBy { it.work.running }
            return Placement(first.entry, engines.filter { it !== first }.map { Helper(it.entry, partTokens(engines.size)) })
        }
    }

    /**
     * An engine for a part of the prompt.
     *
     * @property limitMs largest prefill that may be pending there with the part.
     * @property preferenceMs wait that the engine's place in the order counts as.
     */
    private class Candidate(val view: UpstreamView, val waitMs: Double, val limitMs: Double, val preferenceMs: Double)

    private class Choice(val engines: List<UpstreamView>, val partMs: Double, val backlogMs: Double, val stalled: Int) {
        fun isInTime(remainingMs: Double): Boolean = partMs + backlogMs <= remainingMs
    }

    // Null if no part of the prompt may be prefilled there.
    private fun candidateOf(prompt: Prompt, view: UpstreamView, index: Int, sharedEnd: Int, count: Int): Candidate? {
        if (view.work.helping >= prompt.profile.slots - FREE_HELP_SLOTS) return null
        val rank = prompt.rank
        val pauseLimitMs = if (index < sharedEnd) {
            rank.ranks.smallestPauseMs(rank.level - 1) - prompt.profile.passMs
        } else {
            outrankingLimitMs(view.work, rank, prompt.profile)
        }
        val limitMs = pauseLimitMs * settings.besideShare
        if (view.work.pendingPrefillMs >= limitMs) return null
        // The lowest level begins at the end of the order, where no other streams are, and the others begin next to their own streams.
        val place = if (rank.level == rank.ranks.levels - 1) count - index else index
        val preferenceMs =
            settings.positionMs * place / count + if (limitMs < Double.POSITIVE_INFINITY) settings.besideMs else 0.0
        return Candidate(view, view.work.pendingPrefillMs + view.penaltyMs, limitMs, preferenceMs)
    }

    // Without sampling, instances that place prompts at about the same time would all choose the same engines.
    private fun sample(candidates: List<Candidate>): List<Candidate> =
        candidates.shuffled(random).take(maxOf(settings.maxEngines * SAMPLED_PER_ENGINE, candidates.size / 2))

    // From the largest harmless part to the smallest, then larger ones.
    private fun countsFor(prompt: Prompt, maxCount: Int): Sequence<Int> {
        if (maxCount < prompt.minEngines) return emptySequence()
        val wanted = ceil(prompt.totalMs / (prompt.ownLimitMs * settings.partShare)).toInt().coerceIn(prompt.minEngines, maxCount)
        return (wanted..maxCount).asSequence() + (prompt.minEngines until wanted).reversed()
    }

    private fun choose(prompt: Prompt, count: Int, candidates: List<Candidate>): Choice? {
        val partMs = prompt.totalMs / count
        val partTokens = prompt.partTokens(count)
        val fitting = candidates.filter {
            it.waitMs + partMs <= it.limitMs && it.view.work.heldTokens + partTokens <= prompt.profile.kvCapacityTokens
        }
        if (fitting.size < count) return null
        val sorted = fitting.sortedBy {
            it.waitMs + it.preferenceMs + settings.stalledStreamMs * stalled(prompt, it.view, partMs)
        }
        val first = sorted.firstOrNull { prompt.canAnswer(it.view, count) } ?: return null
        val engines = sorted.take(count).let { if (first in it) it else it.dropLast(1) + first }
        return Choice(
            engines.map {
                it.view
            },
            partMs,
            engines.maxOf { it.waitMs },
            engines.sumOf { stalled(prompt, it.view, partMs) },
        )
    }

    // Streams of the same level that would pause beyond their target. Those of lower levels may be delayed.
    private fun stalled(prompt: Prompt, view: UpstreamView, partMs: Double): Int =
        if (view.work.pendingPrefillMs + partMs > prompt.ownLimitMs) view.work.levels[prompt.rank.level] else 0

    // A prompt that cannot be in time uses engines that are almost idle, or any allowed ones when its caller is about to leave.
    private fun lateChoice(choices: List<Choice>, forecast: PrefillForecast, leavesInMs: Double): Choice? {
        val possible = choices.filter { it.partMs + it.backlogMs <= leavesInMs }
        val isLastCall = leavesInMs <= settings.lastCallMs + forecast.partMs
        return possible.firstOrNull { it.backlogMs <= settings.idleBacklogMs && it.stalled == 0 }
            ?: if (isLastCall) possible.minByOrNull { it.stalled } else null
    }

    private companion object {
        /** Help slots per engine left free for placements of other instances that are not known here yet. */
        const val FREE_HELP_SLOTS = 3

        /** Engines that are compared for each one that may take part. */
        const val SAMPLED_PER_ENGINE = 2
    }
}
