package org.godwitwick.core.forward

/** A share of a route's requests; [weight] is relative to the other shares of the route. */
data class WeightedService(val service: String, val weight: Double)

/**
 * Where requests of one host and path prefix go.
 *
 * @property pathPrefix begins and ends with a slash.
 * @property timeoutMs longest time that a caller is kept waiting, from the arrival of its request.
 * @property targetMs time to the answer, or to a stream's first event, that the operator aims at.
 * @property gapTargetMs longest pause between two events that the operator aims at; zero where the route doesn't stream.
 * @property maxRuns number of upstreams on which one request may run.
 * @property isPublic whether callers need no key.
 */
data class ForwardRoute(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val timeoutMs: Long,
    val targetMs: Long,
    val gapTargetMs: Long,
    val split: List<WeightedService>,
    val maxRuns: Int,
    val isPublic: Boolean,
) {
    /** The service for a request, chosen by weight with [draw], a number from 0 up to but excluding 1. */
    fun serviceFor(draw: Double): String {
        var left = draw * split.sumOf { it.weight }
        return split.firstOrNull { share ->
            left -= share.weight
            left < 0
        }?.service ?: split.last().service
    }
}
