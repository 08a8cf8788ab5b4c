package org.godwitwick.node.forward

import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Executed
import org.godwitwick.core.error.Failure
import org.godwitwick.core.forward.SendCounts
import org.godwitwick.core.health.RequestTrait
import org.godwitwick.core.health.TraitQuarantine

/** The failures of a request that was not sent, or whose time is over. */
internal object RunFailures {
    /** The engines cannot answer the request before its caller leaves; they may take it after [retryAfterMs]. */
    fun backlog(retryAfterMs: Long) = Failure(
        ErrorKind.OVERLOADED,
        "the engines have too much prefill pending to answer in time",
        retryAfterMs = maxOf(retryAfterMs, MIN_BACKLOG_RETRY_MS),
    )

    /** Requests with [trait] are refused because upstreams crashed with them. */
    fun quarantined(trait: RequestTrait) = Failure(
        ErrorKind.REQUEST_QUARANTINED,
        "upstreams crashed with ${if (trait.isWholeRequest) "this request" else "a part of this prompt"}; it is refused for now",
        retryAfterMs = TraitQuarantine.QUARANTINE_MS,
    )

    /**
     * All upstreams state limits that are used up; this instance may send again after [retryAfterMs] if that is known. [draw] is a
     * random number in [0, 1) by which the returns of the callers are spread.
     */
    fun limited(retryAfterMs: Long?, draw: Double) = Failure(
        ErrorKind.OVERLOADED,
        "the upstreams take no more requests at present",
        retryAfterMs = (maxOf(retryAfterMs ?: 0, MIN_BACKLOG_RETRY_MS) * (1 + draw)).toLong(),
    )

    /**
     * Other requests that wait go before this one and there is no place for more. Those that wait have done so for up to
     * [longestWaitMs]. [draw] is a random number in [0, 1) by which the returns of the callers are spread.
     */
    fun queueFull(longestWaitMs: Long, backlogMs: Long, draw: Double) = Failure(
        ErrorKind.OVERLOADED,
        "other requests with long prompts wait before this one, and no more can wait",
        retryAfterMs = (maxOf(longestWaitMs, backlogMs, MIN_BACKLOG_RETRY_MS) * (1 + draw)).toLong(),
    )

    /** No upstream can take the request; [hasUpstream] tells whether its service has any that is not leaving. */
    fun noPlacement(hasUpstream: Boolean): Failure {
        if (hasUpstream) {
            return Failure(
                ErrorKind.OVERLOADED,
                "the engines together have too little free KV cache for the prompt",
            )
        }
        return Failure(
            ErrorKind.NO_UPSTREAM,
            "no upstream of the service is registered, or all are leaving or evacuated",
            retryAfterMs = NO_UPSTREAM_RETRY_MS,
        )
    }

    /** No upstream of the service is in one of [regions], in which alone the request may be handled. */
    fun noRegion(regions: Set<String>) = Failure(
        ErrorKind.NO_UPSTREAM,
        if (regions.isEmpty()) {
            "the regions allowed for the route and for the organisation have none in common"
        } else {
            "no upstream of the service is in a region allowed for the request: ${regions.sorted().take(
                MAX_NAMED_REGIONS,
            ).joinToString()}"
        },
        retryAfterMs = NO_UPSTREAM_RETRY_MS,
    )

    /** This instance reaches no upstream and serves no requests of other instances meanwhile. */
    fun cutOff() = Failure(
        ErrorKind.NO_UPSTREAM,
        "no upstream accepts connections of this instance",
        retryAfterMs = NO_UPSTREAM_RETRY_MS,
    )

    /** The deadline has passed after the sends in [counts]. */
    fun deadline(counts: SendCounts): Failure {
        val ran = if (counts.mayHaveRun > 0) Executed.UNKNOWN else Executed.NO
        return Failure(ErrorKind.DEADLINE_EXCEEDED, "the deadline of the request has passed", ran)
    }

    /** The process ends while the request waits. */
    fun stopping() = Failure(ErrorKind.DRAINING, "this instance is shutting down", retryAfterMs = 0)

    /** The caller disconnected while the request waited. */
    fun callerGone() = Failure(ErrorKind.CANCELLED, "the caller disconnected", Executed.NO)

    /** Lower bound of the retry delay that callers are advised while upstreams have too much to do. */
    private const val MIN_BACKLOG_RETRY_MS = 300L

    /** Bounds the length of a message. */
    private const val MAX_NAMED_REGIONS = 8

    /** Retry delay that callers are advised; upstreams renew their registration about once a second. */
    private const val NO_UPSTREAM_RETRY_MS = 500L
}
