package org.godwitwick.core.forward

/** Service that receives a share of a route's requests; [weight] is relative to the other services of the route. */
data class WeightedService(val service: String, val weight: Double)

/**
 * Forwarding rule for the requests of one host and path prefix.
 *
 * @property pathPrefix begins and ends with a slash.
 * @property timeoutMs maximum time that a caller waits, measured from the arrival of its request, in milliseconds.
 * @property targetMs target time to the answer, or to the first event of a stream, in milliseconds.
 * @property gapTargetMs target for the longest pause between two events, in milliseconds; zero if the route does not stream.
 * @property maxRuns maximum number of upstreams on which one request may run.
 * @property isPublic whether the route accepts callers without a key.
 * @property priority stated priority, where 0 is the most urgent one, or null if none is stated.
 * @property allowedRegions regions in which its requests may be handled, or null for all.
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
    val priority: Int? = null,
    val allowedRegions: Set<String>? = null,
) {
    /** Returns this route with at most [runs] upstreams on which one request may run. */
    fun limitedTo(runs: Int): ForwardRoute = copy(maxRuns = maxRuns.coerceAtMost(runs))

    /** Selects the service for a request by weight; [draw] is a random number in [0, 1). */
    fun serviceFor(draw: Double): String {
        var remaining = draw * split.sumOf { it.weight }
        return split.firstOrNull { share ->
            remaining -= share.weight
            remaining < 0
        }?.service ?: split.last().service
    }
}
