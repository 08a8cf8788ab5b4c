package org.godwitwick.node.forward

import org.godwitwick.core.error.Executed
import org.godwitwick.core.error.Failure
import org.http4k.core.Request
import org.http4k.core.Response

/**
 * How a request came through another instance.
 *
 * @property maxRuns number of upstreams on which it may still run.
 * @property isCounted whether the other instance has counted it for the retry budget.
 */
data class RelayHop(val maxRuns: Int, val isCounted: Boolean)

/**
 * Headers between an instance that relays a request and the one that serves it. A caller that sets them restricts its own request
 * only: it is not relayed again, and is not run more often than its route allows.
 */
internal object RelayHeaders {
    /** Header of answers to relayed requests. */
    const val OUTCOME = "Godwitwick-Relay-Outcome"
    private const val HOP = "Godwitwick-Relay"
    private const val COUNTED = "counted"
    private const val NOT_SENT = "not-sent"
    private const val SERVED = "served"
    private const val SEPARATOR = ';'

    /** Header of a relayed request. */
    fun encode(hop: RelayHop): Pair<String, String> =
        HOP to if (hop.isCounted) "${hop.maxRuns}$SEPARATOR$COUNTED" else "${hop.maxRuns}"

    /** Returns how [request] came through another instance, or null if it came from its caller. */
    fun hopOf(request: Request): RelayHop? = request.header(HOP)?.let { value ->
        RelayHop(value.substringBefore(SEPARATOR).toIntOrNull() ?: 1, value.endsWith(COUNTED))
    }

    /** Adds to [response], which reports [failure] of a relayed request, whether the request was sent to an upstream. */
    fun withOutcome(response: Response, failure: Failure): Response = withOutcome(response, failure.ran != Executed.NO)

    /** Adds to the answer of a relayed request whether it was sent to an upstream; the first call decides. */
    fun withOutcome(response: Response, wasSent: Boolean): Response = when {
        response.header(OUTCOME) != null -> response
        else -> response.header(OUTCOME, if (wasSent) SERVED else NOT_SENT)
    }

    /** Whether [name] is a header of this protocol. */
    fun isOwn(name: String): Boolean = name.equals(HOP, ignoreCase = true) || name.equals(OUTCOME, ignoreCase = true)

    /** Whether an answer with [outcome], the value of its header, is that of an instance to a relayed request. */
    fun isOutcome(outcome: String?): Boolean = outcome == SERVED || outcome == NOT_SENT

    /** Whether an answer with [outcome], the value of its header, states that the request was sent to no upstream. */
    fun isNotSent(outcome: String?): Boolean = outcome == NOT_SENT
}
