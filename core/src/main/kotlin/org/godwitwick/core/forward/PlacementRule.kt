package org.godwitwick.core.forward

import kotlin.math.ceil
import kotlin.random.Random

/**
 * Places requests on upstreams.
 *
 * Answers a mix in which bursts of long prompts meet many short ones. An engine that reads writes nothing meanwhile, so a long read
 * stalls all short streams beside it. Short requests therefore share few engines, in an order that all instances agree on, as long as
 * these keep their pace; long prompts are read by several of the other engines at once, as [ReadSplitRule] says.
 */
class PlacementRule(
    private val random: Random,
    private val settings: PlacementSettings = PlacementSettings(),
    private val split: ReadSplitRule = ReadSplitRule(),
) {
    /** Places a request without tokens; null when no upstream is known. */
    fun place(candidates: List<UpstreamView>): Placement? =
        candidates.minByOrNull(::costMs)?.let { Placement(it.entry, emptyList()) }

    /**
     * Places [demand] on engines of [profile]; null when they can't hold it, or none is known.
     *
     * @param knownShare share of the fleet's instances whose work is among that of the candidates; zero when the instance doesn't know
     *   the others yet.
     */
    fun place(
        demand: PlacementDemand,
        profile: EngineProfile,
        candidates: List<UpstreamView>,
        knownShare: Double = 1.0,
    ): Placement? {
        if (candidates.isEmpty()) return null
        val size = demand.size
        val shared = sharedEngines(candidates, knownShare, profile.slots)
        return when {
            size.isShort -> placeShort(profile, candidates, shared)
            size.memoryTokens > profile.memoryTokens * settings.maxMemoryShare -> spread(demand, profile, candidates, shared)
            else -> placeLong(demand, profile, candidates, shared)
        }
    }

    // The first engines in an order that is the same on all instances, so that they agree also while they don't hear each other.
    // Instances that have all just started would choose the same few and overload them, so they share all until they hear each other.
    private fun sharedEngines(candidates: List<UpstreamView>, knownShare: Double, slots: Int): Set<UpstreamView> {
        if (knownShare <= 0.0) return candidates.toSet()
        val streams = candidates.sumOf { it.work.shortStreams } / knownShare
        val count = (streams / (slots * settings.streamShare)).toInt() + settings.leastSharing
        return candidates.sortedBy { it.entry.id.value.hashCode() }.take(count).toSet()
    }

    private fun placeShort(profile: EngineProfile, candidates: List<UpstreamView>, shared: Set<UpstreamView>): Placement {
        // What the others sent in the last moments isn't known yet, so a few candidates at random keep instances off each other.
        val best = shared.shuffled(random).take(settings.sampled).minBy { shortCostMs(it, profile) }
        val other = candidates.shuffled(random).take(settings.sampled).minBy { shortCostMs(it, profile) }
        val isBestBusy = shortCostMs(best, profile) > shortCostMs(other, profile) + settings.escapeMs
        return Placement((if (isBestBusy) other else best).entry, emptyList())
    }

    private fun placeLong(
        demand: PlacementDemand,
        profile: EngineProfile,
        candidates: List<UpstreamView>,
        shared: Set<UpstreamView>,
    ): Placement {
        val size = demand.size
        val usable = sampled(candidates.filter { it.work.helping < profile.slots - HELP_RESERVE }.ifEmpty { candidates })
        val members = split.readers(demand, profile.readMs(size.promptTokens), usable, shared)
        val room = members.filter { it.work.heldTokens + size.memoryTokens <= profile.memoryTokens }.ifEmpty { members }
        val first = room.minBy { it.work.running + if (it in shared || it.work.shortStreams > 0) profile.slots else 0 }
        return Placement(first.entry, members.filter { it !== first }.map { Helper(it.entry, 0) })
    }

    // Reservations hold most of the prompt; the first engine holds the rest and the answer.
    private fun spread(
        demand: PlacementDemand,
        profile: EngineProfile,
        candidates: List<UpstreamView>,
        shared: Set<UpstreamView>,
    ): Placement? {
        val size = demand.size
        val firstTokens = (profile.memoryTokens * settings.firstMemoryShare).toLong()
        val part = (profile.memoryTokens * settings.reservedShare).toLong()
        val holderCount = ceil((size.memoryTokens - firstTokens).toDouble() / part).toInt()
        if (size.maxAnswerTokens > firstTokens) return null
        val room = candidates.filter { it.work.heldTokens + firstTokens <= profile.memoryTokens }
        val usable = sampled(room.ifEmpty { candidates }.filter { it.work.helping < profile.slots - HELP_RESERVE })
        if (usable.size <= holderCount || holderCount >= settings.maxEngines) return null
        val members = split.readers(demand, profile.readMs(size.promptTokens), usable, shared, least = holderCount + 1)
        val ranked = members.sortedBy { it.work.heldTokens }
        val holders = ranked.drop(1).take(holderCount)
        return Placement(ranked.first().entry, ranked.drop(1).map { Helper(it.entry, if (it in holders) part else 0) })
    }

    // Instances that place long prompts at about the same time would otherwise all choose the same engines.
    private fun sampled(usable: List<UpstreamView>): List<UpstreamView> =
        usable.shuffled(random).take(maxOf(settings.maxEngines * settings.choicesPerReader, usable.size / 2))

    private fun shortCostMs(view: UpstreamView, profile: EngineProfile): Double {
        val waiting = (view.work.running - profile.slots + 1).coerceAtLeast(0)
        return costMs(view) + settings.queueMs * waiting
    }

    private fun costMs(view: UpstreamView): Double =
        view.work.pendingReadMs + view.penaltyMs + settings.runningMs * view.work.running

    private companion object {
        /** Places for helping that are left to requests of other instances that this one has not heard of yet. */
        const val HELP_RESERVE = 3
    }
}

/**
 * A prompt to be placed.
 *
 * @property targetMs time to the first event that the operator aims at.
 */
data class PlacementDemand(val size: RequestSize, val targetMs: Long)

/**
 * Settings of [PlacementRule].
 *
 * @property maxEngines most engines that hold one prompt: the first and the 16 helpers that the platform allows.
 * @property escapeMs advantage for which a short request leaves the shared engines: half of its target.
 * @property streamShare share of an engine's slots that short streams fill before one more engine is shared; the rest is for arrivals
 *   that are not known yet.
 * @property leastSharing engines that short requests share at the least.
 * @property maxMemoryShare share of an engine's memory up to which one request is held by one engine.
 * @property firstMemoryShare share of the first engine's memory that a spread request takes.
 * @property reservedShare share of an engine's memory that one reservation takes; small enough to be free on a busy engine.
 * @property sampled engines that are compared for a short request.
 * @property choicesPerReader engines that are compared for each one that may read a long prompt.
 * @property runningMs cost of a running request, in milliseconds of reading.
 * @property queueMs cost of each request that waits for a slot: the time in which one becomes free.
 */
data class PlacementSettings(
    val maxEngines: Int = 17,
    val escapeMs: Double = 150.0,
    val streamShare: Double = 0.6,
    val leastSharing: Int = 4,
    val maxMemoryShare: Double = 0.8,
    val firstMemoryShare: Double = 0.3,
    val reservedShare: Double = 0.25,
    val sampled: Int = 3,
    val choicesPerReader: Int = 2,
    val runningMs: Double = 10.0,
    val queueMs: Double = 200.0,
)
