package org.godwitwick.node.forward

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
    private const val SEPARATOR = ';'

    /** Header of a relayed request. */
    fun encode(hop: RelayHop): Pair<String, String> =
        HOP to if (hop.isCounted) "${hop.maxRuns}$SEPARATOR$COUNTED" else "${hop.maxRuns}"

    /** Returns how [request] came through another instance, or null if it came from its caller. */
    fun hopOf(request: Request): RelayHop? = request.header(HOP)?.let { value ->
        RelayHop(value.substringBefore(SEPARATOR).toIntOrNull() ?: 1, value.endsWith(COUNTED))
    }

    /** Adds [outcome] to the answer of a relayed request; the first call decides. */
    fun withOutcome(response: Response, outcome: RelayOutcome): Response =
        if (response.header(OUTCOME) != null) response else response.header(OUTCOME, outcome.text)

    /** Whether [name] is a header of this protocol. */
    fun isOwn(name: String): Boolean = name.equals(HOP, ignoreCase = true) || name.equals(OUTCOME, ignoreCase = true)
}
