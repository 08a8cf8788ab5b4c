package org.godwitwick.core.forward

/**
 * How long an upstream may be silent before a stream is continued elsewhere, in milliseconds; null when it can't be.
 *
 * Answers upstreams that fall silent: callers leave a silent stream after a few times the targets, so the other upstream has to be
 * asked before. A busy upstream is silent for up to [stallMs] when a helper is lost, and then says so itself.
 */
class PatienceRule(private val stallMs: Long) {
    /** Limit of the time to the first event. */
    fun beforeFirstEvent(route: ForwardRoute): Long? =
        if (isContinuable(route)) maxOf(stallMs + STALL_MARGIN_MS, route.targetMs * FIRST_EVENT_TARGETS) else null

    /** Limit of the time between two events. */
    fun betweenEvents(route: ForwardRoute): Long? =
        if (isContinuable(route)) maxOf(MIN_GAP_MS, route.gapTargetMs * GAP_TARGETS) else null

    private fun isContinuable(route: ForwardRoute): Boolean = route.kind is RouteKind.Streaming && route.kind.isIdempotent

    private companion object {
        const val STALL_MARGIN_MS = 100L

        /** Callers leave after four times the target. */
        const val FIRST_EVENT_TARGETS = 2L

        /** Callers leave after 2 s of silence, or eight times the pause that the route allows. */
        const val GAP_TARGETS = 3L
        const val MIN_GAP_MS = 1_200L
    }
}
