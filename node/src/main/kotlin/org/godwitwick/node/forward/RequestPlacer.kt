package org.godwitwick.node.forward

import org.godwitwick.core.forward.ForwardRoute
import org.godwitwick.core.forward.ForwardService
import org.godwitwick.core.forward.RouteKind
import org.godwitwick.core.forward.UpstreamEntry

/** Places the sends of one request, each elsewhere than the ones before. Used by one thread. */
class RequestPlacer(private val parts: ForwardParts, private val request: CallerRequest) {
    private val tried = HashSet<UpstreamEntry>()
    private val avoided = HashSet<String>()

    /** Notes that the request was sent to [upstream]; it is tried again only when all others were tried too. */
    fun markTried(upstream: UpstreamEntry) {
        tried += upstream
    }

    /** Notes that the upstream at [address] can't take part in this request. */
    fun avoid(address: String) {
        avoided += address
    }

    /** The next placement at the service called [serviceName], or null when there is none. */
    fun place(service: ForwardService?, serviceName: String, route: ForwardRoute): PlacedWork? {
        val known = parts.knowledge.upstreams[serviceName].orEmpty().filter { it.address !in avoided }
        val untried = known.filter { it !in tried }.ifEmpty { known }
        val demand = Demand(request.size, route.targetMs, route.kind is RouteKind.Streaming)
        return parts.placer.place(demand, service?.engine, untried, Clocks.steadyMs())
    }
}
