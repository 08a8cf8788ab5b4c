package org.godwitwick.node.forward

import org.godwitwick.core.forward.CallerWait
import org.godwitwick.core.forward.ForwardRoute
import org.godwitwick.core.forward.ForwardService
import org.godwitwick.core.forward.RouteKind
import org.godwitwick.core.forward.UpstreamEntry

/** Chooses the upstream for each send of one request, preferring those not tried before. Used by one thread. */
class RequestPlacer(private val context: ForwardContext, private val request: CallerRequest) {
    private val tried = HashSet<UpstreamEntry>()
    private val avoided = HashSet<String>()

    /** Records that the request was sent to [upstream]; it is tried again only after all others were tried. */
    fun markTried(upstream: UpstreamEntry) {
        tried += upstream
    }

    /** Excludes the upstream at [address] from this request. */
    fun avoid(address: String) {
        avoided += address
    }

    /** Places the request at the service called [serviceName], for a caller that has waited as [wait] says. */
    fun place(service: ForwardService?, serviceName: String, route: ForwardRoute, wait: CallerWait): PlacementDecision {
        val known = context.fleetView.upstreams[serviceName].orEmpty().filter { it.address !in avoided }
        val untried = known.filter { it !in tried }.ifEmpty { known }
        val pauses = context.fleetView.routing.table?.pauseTargetsOf(serviceName)
        val demand = ForwardDemand(request.size, wait, route.kind is RouteKind.Streaming, pauses)
        return context.placer.place(demand, service?.engine, untried, Clocks.steadyMs())
    }
}
