package org.godwitwick.core.forward

import java.util.Collections
import java.util.IdentityHashMap
import kotlin.math.ceil
import kotlin.random.Random

/**
 * Selects the upstreams for requests.
 *
 * Designed for bursts of long prompts among many short ones. An engine generates no tokens while it computes a prefill, so a long
 * prefill stalls all short streams on the same engine. Short requests therefore share a few engines, in an order that all
 * instances agree on, as long as these engines are not overloaded. The prefill of a long prompt is split over several of the
 * other engines, see [PrefillSplitRule].
 */
class PlacementRule(
    private val random: Random,
    private val settings: PlacementSettings = PlacementSettings(),
    private val split: PrefillSplitRule = PrefillSplitRule(),
) {
    /** Places a request to a service without an engine profile; returns null if there are no [candidates]. */
    fun place(candidates: PlacementCandidates): Placement? =
        Sample(candidates).draw { true }.minByOrNull(::costMs)?.let { Placement(it.entry, emptyList()) }

    /** Same as above for [candidates] that have been viewed already. */
    fun place(candidates: List<UpstreamView>): Placement? = place(ViewedCandidates(candidates))

    /**
     * Places [demand] on engines with [profile]; returns null if there are no [candidates] or they cannot hold the request.
     *
     * @param knownShare fraction of the fleet's instances whose work is included in the work of [candidates]; zero if this
     *   instance has no reports of the others yet.
     */
    fun place(
        demand: PlacementDemand,
        profile: EngineProfile,
        candidates: PlacementCandidates,
        knownShare: Double = 1.0,
    ): Placement? {
        if (candidates.size == 0) return null
        val size = demand.size
        val sharedCount = sharedCount(candidates, knownShare, profile.slots)
        return when {
            size.isShort -> placeShort(profile, candidates, sharedCount)

            size.kvTokens > profile.kvCapacityTokens * settings.maxMemoryShare ->
                placeSplit(demand, profile, Sample(candidates, sharedCount))

            else -> placeLong(demand, profile, Sample(candidates, sharedCount))
        }
    }

    /** Same as above for [candidates] that have been viewed already. */
    fun place(
        demand: PlacementDemand,
        profile: EngineProfile,
        candidates: List<UpstreamView>,
        knownShare: Double = 1.0,
    ): Placement? = place(demand, profile, ViewedCandidates(candidates), knownShare)

    // The first engines in an order that is the same on all instances are shared, so that the instances agree even without messages
    // from each other. Instances that have all just started would overload these few engines, so all engines are shared until the
    // first reports arrive.
    private fun sharedCount(candidates: PlacementCandidates, knownShare: Double, slots: Int): Int {
        if (knownShare <= 0.0) return candidates.size
        val streams = candidates.shortStreams / knownShare
        val count = (streams / (slots * settings.streamShare)).toInt() + settings.minSharedEngines
        return count.coerceAtMost(candidates.size)
    }

    private fun placeShort(profile: EngineProfile, candidates: PlacementCandidates, sharedCount: Int): Placement {
        // Other instances' latest placements are not known yet; a random sample keeps instances from choosing the same engine.
        val sharedBest = bestOfSample(profile, candidates, sharedCount)
        val overallBest = bestOfSample(profile, candidates, candidates.size)
        val isSharedBusy = shortCostMs(sharedBest, profile) > shortCostMs(overallBest, profile) + settings.switchMarginMs
        return Placement((if (isSharedBusy) overallBest else sharedBest).entry, emptyList())
    }

    // The best for a short request among some of the first [count] candidates.
    private fun bestOfSample(profile: EngineProfile, candidates: PlacementCandidates, count: Int): UpstreamView {
        val indices = DistinctIndices(count, random)
        return List(minOf(settings.sampleSize, count)) { candidates.viewAt(indices.next()) }.minBy { shortCostMs(it, profile) }
    }

    private fun placeLong(demand: PlacementDemand, profile: EngineProfile, sample: Sample): Placement {
        val size = demand.size
        val usable = sampleOf(sample.draw { mayHelp(it, profile) }.ifEmpty { sample.drawn })
        val engines = split.chooseEngines(demand, profile, usable, sample.shared)
        val withCapacity = engines.filter { it.work.heldTokens + size.kvTokens <= profile.kvCapacityTokens }.ifEmpty { engines }
        val first = withCapacity.minBy {
            it.work.running +
                if (it in sample.shared || it.work.shortStreams > 0) profile.slots else 0
        }
        return Placement(first.entry, engines.filter { it !== first }.map { Helper(it.entry, 0) })
    }

    // Most of the prompt's KV cache is kept in reservations on helpers; the first engine keeps the rest and that of the answer.
    private fun placeSplit(demand: PlacementDemand, profile: EngineProfile, sample: Sample): Placement? {
        val size = demand.size
        val firstTokens = (profile.kvCapacityTokens * settings.firstMemoryShare).toLong()
        val partTokens = (profile.kvCapacityTokens * settings.reservedShare).toLong()
        val reservationCount = ceil((size.kvTokens - firstTokens).toDouble() / partTokens).toInt()
        if (size.maxAnswerTokens > firstTokens || reservationCount >= settings.maxEngines) return null
        fun hasCapacity(view: UpstreamView) = view.work.heldTokens + firstTokens <= profile.kvCapacityTokens
        val withCapacity = sample.draw(minCount = reservationCount + 1) { hasCapacity(it) && mayHelp(it, profile) }
        // Engines whose memory is full are used only if that of all engines is.
        val usable = sampleOf(
            if (sample.drawn.any(::hasCapacity)) withCapacity else sample.drawn.filter { mayHelp(it, profile) },
        )
        if (usable.size <= reservationCount) return null
        val engines =
            split.chooseEngines(demand, profile, usable, sample.shared, minEngines = reservationCount + 1)
        val ranked = engines.sortedBy { it.work.heldTokens }
        val reserved = ranked.drop(1).take(reservationCount)
        return Placement(ranked.first().entry, ranked.drop(1).map { Helper(it.entry, if (it in reserved) partTokens else 0) })
    }

    private fun mayHelp(view: UpstreamView, profile: EngineProfile): Boolean =
        view.work.helping < profile.slots - RESERVED_HELP_SLOTS

    // Without sampling, instances that place long prompts at about the same time would all choose the same engines.
    private fun sampleOf(usable: List<UpstreamView>): List<UpstreamView> =
        usable.take(maxOf(settings.maxEngines * settings.candidatesPerEngine, usable.size / 2))

    /**
     * Views of some of [candidates] in random order, of which the first [sharedCount] are shared: all candidates of a small fleet, or
     * [PlacementSettings.maxViews] of a large one.
     */
    private inner class Sample(private val candidates: PlacementCandidates, private val sharedCount: Int = 0) {
        private val indices = DistinctIndices(candidates.size, random)

        /** The views built so far. */
        val drawn = ArrayList<UpstreamView>()

        /** Those of [drawn] that are shared. */
        val shared: MutableSet<UpstreamView> = Collections.newSetFromMap(IdentityHashMap())

        /**
         * Draws the sample and returns the part of it that is [isUsable]. If this is less than [minCount], more candidates of a
         * large fleet are drawn, but no more than [PlacementSettings.maxViewsIfScarce].
         */
        fun draw(minCount: Int = 0, isUsable: (UpstreamView) -> Boolean): List<UpstreamView> {
            val usable = ArrayList<UpstreamView>()
            while (indices.hasNext && (drawn.size < settings.maxViews || usable.size < minCount)) {
                if (drawn.size >= settings.maxViewsIfScarce) break
                val view = drawNext()
                if (isUsable(view)) usable += view
            }
            return usable
        }

        private fun drawNext(): UpstreamView {
            val index = indices.next()
            return candidates.viewAt(index).also {
                drawn += it
                if (index < sharedCount) shared += it
            }
        }
    }

    private fun shortCostMs(view: UpstreamView, profile: EngineProfile): Double {
        val waiting = (view.work.running - profile.slots + 1).coerceAtLeast(0)
        return costMs(view) + settings.queuedRequestMs * waiting
    }

    private fun costMs(view: UpstreamView): Double =
        view.work.pendingPrefillMs + view.penaltyMs + settings.runningRequestMs * view.work.running

    private companion object {
        /** Help slots per engine left free for placements of other instances that are not known here yet. */
        const val RESERVED_HELP_SLOTS = 3
    }
}

/**
 * A model request to be placed.
 *
 * @property targetMs target time to the first event, in milliseconds.
 * @property pauses the longest allowed pauses of the streams beside it.
 */
data class PlacementDemand(val size: RequestSize, val targetMs: Long, val pauses: PauseTargets)

/**
 * Settings of [PlacementRule].
 *
 * @property maxEngines maximum number of engines that hold one prompt: the first and the 16 helpers that the platform allows.
 * @property switchMarginMs cost difference above which a short request is placed outside the shared engines: half of its target.
 * @property streamShare fraction of an engine's slots that short streams fill before one more engine is shared; the rest is left
 *   for arrivals that are not known yet.
 * @property minSharedEngines minimum number of engines that short requests share.
 * @property maxMemoryShare fraction of an engine's KV cache up to which a request is placed on a single engine.
 * @property firstMemoryShare fraction of the first engine's KV cache that a request takes if it is placed across several engines.
 * @property reservedShare fraction of an engine's KV cache that one reservation takes; small enough to be free on a busy engine.
 * @property sampleSize number of engines that are compared for a short request.
 * @property candidatesPerEngine number of engines that are compared for each engine that may take part in a long prefill.
 * @property maxViews number of engines whose state is looked at for a long prompt or a request to a plain service. It bounds the time
 *   of a placement in a large fleet; smaller fleets are looked at as a whole. An even larger sample is hardly better: half of it is
 *   almost four times as many engines as can take part.
 * @property maxViewsIfScarce the same if these are too few for a prompt that does not fit on one engine.
 * @property runningRequestMs cost of a running request, in milliseconds of prefill.
 * @property queuedRequestMs cost of each request that waits for a slot: the time in which a slot becomes free.
 */
data class PlacementSettings(
    val maxEngines: Int = 17,
    val switchMarginMs: Double = 150.0,
    val streamShare: Double = 0.6,
    val minSharedEngines: Int = 2,
    val maxMemoryShare: Double = 0.8,
    val firstMemoryShare: Double = 0.3,
    val reservedShare: Double = 0.25,
    val sampleSize: Int = 3,
    val candidatesPerEngine: Int = 2,
    val maxViews: Int = 128,
    val maxViewsIfScarce: Int = 1_024,
    val runningRequestMs: Double = 10.0,
    val queuedRequestMs: Double = 200.0,
)
