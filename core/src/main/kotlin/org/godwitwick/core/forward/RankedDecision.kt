package org.godwitwick.core.forward

import org.godwitwick.core.model.InstanceId

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
