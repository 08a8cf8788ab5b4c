package org.godwitwick.node.forward

import org.godwitwick.core.forward.EngineProfile
import org.godwitwick.core.forward.ForwardRoute
import org.godwitwick.core.forward.ForwardService
import org.godwitwick.core.forward.Placement
import org.godwitwick.core.forward.PlacementDemand
import org.godwitwick.core.forward.RouteKind
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.UpstreamView

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
        val nowMs = Clocks.steadyMs()
        val known = parts.knowledge.upstreams[serviceName].orEmpty().filter { it.address !in avoided }
        val untried = known.filter { it !in tried }.ifEmpty { known }
        val others = parts.peerLoads.at(nowMs)
        val views = untried.shuffled(parts.random).map { viewOf(it, others, nowMs) }
        val placement = placementOf(service?.engine, views, route, parts.knownShare(others)) ?: return null
        return PlacedWork(placement, readMsOf(service?.engine, placement), heldTokensOf(placement), isShortStream(route))
    }

    private fun placementOf(
        engine: EngineProfile?,
        views: List<UpstreamView>,
        route: ForwardRoute,
        knownShare: Double,
    ): Placement? {
        val size = request.size
        if (engine == null || size == null) return parts.placement.place(views)
        return parts.placement.place(PlacementDemand(size, route.targetMs), engine, views, knownShare)
    }

    private fun viewOf(entry: UpstreamEntry, others: OthersWork, nowMs: Long): UpstreamView {
        val work = parts.loads.workAt(entry, nowMs) + others.workAt(entry)
        return UpstreamView(entry, work, parts.loads.penaltyOf(entry, nowMs))
    }

    private fun isShortStream(route: ForwardRoute): Boolean = route.kind is RouteKind.Streaming && request.size?.isShort != false

    private fun readMsOf(engine: EngineProfile?, placement: Placement): Double {
        val tokens = request.size?.promptTokens ?: return 0.0
        return (engine?.readMs(tokens) ?: 0.0) / (placement.helpers.size + 1)
    }

    private fun heldTokensOf(placement: Placement): Long {
        val size = request.size ?: return 0
        return (size.memoryTokens - placement.helpers.sumOf { it.reservedTokens }).coerceAtLeast(0)
    }
}
