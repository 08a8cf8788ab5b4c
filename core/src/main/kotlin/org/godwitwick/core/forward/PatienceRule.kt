package org.godwitwick.core.forward

/**
 * How long an upstream may be silent before a stream is continued elsewhere, in milliseconds; null when it can't be.
 *
 * Answers upstreams that fall silent: callers leave a silent stream after a few times the targets, so the other upstream has to be
 * asked before. A busy upstream is silent for up to [stallMs] when a helper is lost, and then says so itself; one that reads a long
 * prompt is silent for as long. A stream on the last upstream that its route allows is never given up for silence, as nothing could
 * continue it.
 */
class PatienceRule(private val stallMs: Long) {
    /** Limit of the time to the first event of a request that may have run on [earlierRuns] upstreams before this one. */
    fun beforeFirstEvent(route: ForwardRoute, earlierRuns: Int): Long? = limitOf(
        route,
        earlierRuns,
        route.targetMs * FIRST_EVENT_TARGETS,
    )

    /** Limit of the time between two events of such a request. */
    fun betweenEvents(route: ForwardRoute, earlierRuns: Int): Long? = limitOf(route, earlierRuns, route.gapTargetMs * GAP_TARGETS)

    private fun limitOf(route: ForwardRoute, earlierRuns: Int, byTargetMs: Long): Long? {
        val isContinuable = route.kind is RouteKind.Streaming && route.kind.isIdempotent && earlierRuns + 1 < route.maxRuns
        return if (isContinuable) maxOf(stallMs + STALL_MARGIN_MS, byTargetMs) else null
    }

    private companion object {
        const val STALL_MARGIN_MS = 100L

        /** Callers leave after four times the target. */
        const val FIRST_EVENT_TARGETS = 2L

        /** Callers leave after 2 s of silence, or eight times the pause that the route allows. */
        const val GAP_TARGETS = 3L
    }
}
