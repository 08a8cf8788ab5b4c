package org.godwitwick.core.forward

/** What a route's requests are, which decides what may be sent twice. */
sealed interface RouteKind {
    /** Whether a request may run more than once. */
    val isIdempotent: Boolean

    /** One answer; a request may run more than once. */
    data object Safe : RouteKind {
        override val isIdempotent = true
    }

    /** One answer; a request runs at most once. */
    data object Unsafe : RouteKind {
        override val isIdempotent = false
    }

    /**
     * A stream of numbered events.
     *
     * @property isResumable whether another upstream can continue after the last event that arrived.
     */
    data class Streaming(val isResumable: Boolean) : RouteKind {
        override val isIdempotent get() = isResumable
    }
}
