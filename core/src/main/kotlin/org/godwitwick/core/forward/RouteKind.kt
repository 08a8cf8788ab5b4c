package org.godwitwick.core.forward

/** Kind of the requests of a route; determines whether a request may be sent more than once. */
sealed interface RouteKind {
    /** Whether a request may run more than once. */
    val isIdempotent: Boolean

    /** Requests with a single answer that may run more than once. */
    data object Safe : RouteKind {
        override val isIdempotent = true
    }

    /** Requests with a single answer that must run at most once. */
    data object Unsafe : RouteKind {
        override val isIdempotent = false
    }

    /**
     * Requests that are answered by a stream of numbered events.
     *
     * @property isResumable whether another upstream can continue a stream after the last event that was received.
     */
    data class Streaming(val isResumable: Boolean) : RouteKind {
        override val isIdempotent get() = isResumable
    }
}
