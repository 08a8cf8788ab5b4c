package org.godwitwick.core.forward

import kotlin.math.ceil
import kotlin.math.min

/**
 * Places requests on upstreams: each goes to the upstream with the least own work outstanding.
 *
 * Answers a mix in which few long prompts meet many short ones. A prompt from [LONG_PROMPT_TOKENS] on is read by many engines at
 * once, so that none is occupied for longer than a short stream may pause. A prompt that is larger than one engine's memory is spread
 * over reservations.
 */
class PlacementRule(private val settings: PlacementSettings = PlacementSettings()) {
    /** Places a request without tokens; null when no upstream is known. */
    fun place(candidates: List<UpstreamView>): Placement? =
        candidates.minByOrNull(::costMs)?.let { Placement(it.entry, emptyList()) }

    /** Places a request of [size] on engines of [profile]; null when they can't hold it, or none is known. */
    fun place(size: RequestSize, profile: EngineProfile, candidates: List<UpstreamView>): Placement? {
        val ranked = candidates.sortedBy(::costMs)
        val first = ranked.firstOrNull() ?: return null
        if (size.promptTokens < settings.longPromptTokens) return Placement(first.entry, emptyList())
        val helpers = ranked.drop(1).filter { it.helping < profile.slots - HELP_RESERVE }
        val usableShare = (profile.memoryTokens * settings.maxMemoryShare).toLong()
        if (size.memoryTokens > usableShare) return spread(size, profile, first, helpers)
        return Placement(first.entry, helpers.take(settings.maxHelpers).map { Helper(it.entry, 0) })
    }

    // The first engine holds the answer and its part of the prompt; the helpers hold equal parts of the rest.
    private fun spread(size: RequestSize, profile: EngineProfile, first: UpstreamView, helpers: List<UpstreamView>): Placement? {
        val chosen = helpers.sortedBy { it.heldTokens }.take(settings.maxHelpers)
        if (chosen.isEmpty()) return null
        val part = ceil(size.promptTokens.toDouble() / chosen.size).toLong()
        if (part > profile.memoryTokens * settings.maxReservedShare || size.maxAnswerTokens > profile.memoryTokens) return null
        return Placement(first.entry, chosen.map { Helper(it.entry, part) })
    }

    private fun costMs(view: UpstreamView): Double =
        view.pendingReadMs + view.penaltyMs + settings.runningMs * view.running + settings.helpingMs * view.helping

    private companion object {
        /** Places for helping that are left to other instances, which this one doesn't see. */
        const val HELP_RESERVE = 3
    }
}

/**
 * Settings of [PlacementRule].
 *
 * @property longPromptTokens prompts from this size on are read by several engines.
 * @property maxHelpers most helpers of one prompt; the platform allows 16.
 * @property maxMemoryShare share of an engine's memory up to which one request is held by one engine.
 * @property maxReservedShare share of an engine's memory that one reservation may take.
 * @property runningMs cost of a running request, in milliseconds of reading.
 * @property helpingMs cost of a read for another engine, in milliseconds of reading.
 */
data class PlacementSettings(
    val longPromptTokens: Long = 20_000,
    val maxHelpers: Int = 16,
    val maxMemoryShare: Double = 0.8,
    val maxReservedShare: Double = 0.5,
    val runningMs: Double = 10.0,
    val helpingMs: Double = 10.0,
) {
    /** The settings for a fleet whose helpers are limited to [most]. */
    fun withHelpersUpTo(most: Int) = copy(maxHelpers = min(maxHelpers, most))
}
