package org.godwitwick.core.forward

/**
 * Computes how long an upstream may send nothing before its stream is continued on another upstream.
 *
 * Callers abandon a silent stream after a few times the targets, so the switch has to happen earlier. The timeout is longer than
 * [stallMs], because an upstream that lost a helper is silent for that time and then reports the loss itself. Time in which the
 * upstream is known to prefill does not count, see [SilenceTimer]. There is no timeout (null) on the last upstream that the route allows, because no
 * other upstream could continue the stream.
 *
 * @property stallMs longest silence of an upstream that lost a helper, in milliseconds.
 */
class StreamTimeoutRule(private val stallMs: Long) {
    /**
     * Timeout for the first event in milliseconds, or null for no timeout, if the request may have run on [earlierRuns] upstreams
     * before this one.
     */
    fun firstEventTimeoutMs(route: ForwardRoute, earlierRuns: Int): Long? = timeoutMs(
        route,
        earlierRuns,
        route.targetMs * FIRST_EVENT_TARGETS,
    )

    /** Timeout between two events in milliseconds, or null for no timeout; [earlierRuns] as in [firstEventTimeoutMs]. */
    fun eventGapTimeoutMs(route: ForwardRoute, earlierRuns: Int): Long? = timeoutMs(
        route,
        earlierRuns,
        route.gapTargetMs * GAP_TARGETS,
    )

    private fun timeoutMs(route: ForwardRoute, earlierRuns: Int, targetTimeoutMs: Long): Long? {
        val canContinueElsewhere = route.kind is RouteKind.Streaming && route.kind.isIdempotent && earlierRuns + 1 < route.maxRuns
        return if (canContinueElsewhere) maxOf(stallMs + STALL_MARGIN_MS, targetTimeoutMs) else null
    }

    private companion object {
        /** Margin by which the timeout exceeds the longest silence of a working upstream. */
        const val STALL_MARGIN_MS = 100L

        /** Multiple of the target for the first event; callers leave after four times the target. */
        const val FIRST_EVENT_TARGETS = 2L

        /** Multiple of the target pause; callers leave after 2 s of silence, or eight times the pause that the route allows. */
        const val GAP_TARGETS = 3L
    }
}
