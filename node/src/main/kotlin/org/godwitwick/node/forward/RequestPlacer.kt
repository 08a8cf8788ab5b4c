package org.godwitwick.node.forward

import org.godwitwick.core.forward.AdmittedTarget
import org.godwitwick.core.forward.CallerWait
import org.godwitwick.core.forward.ForwardService
import org.godwitwick.core.forward.PrefillForecast
import org.godwitwick.core.forward.RouteKind
import org.godwitwick.core.forward.StatedRank
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.UpstreamList
import org.godwitwick.core.model.InstanceId

/** Chooses the upstream for each send of one request, preferring those not tried before. Used by one thread. */
class RequestPlacer(private val context: ForwardContext, private val request: CallerRequest) {
    private val triedProcesses = HashSet<String>()
    private val avoided = HashSet<String>()

    /** Records that the request was sent to [upstream]; it is tried again only after all others were tried. */
    fun markTried(upstream: UpstreamEntry) {
        triedProcesses += upstream.processKey
    }

    /** Whether the request was sent to [upstream] before. */
    fun wasTried(upstream: UpstreamEntry): Boolean = upstream.processKey in triedProcesses

    /** Excludes the upstream at [address] from this request. */
    fun avoid(address: String) {
        avoided += address
    }

    /** The upstreams of the service called [serviceName] that are not leaving and are in one of [regions]; null allows all. */
    fun presentAt(serviceName: String, regions: Set<String>?): UpstreamList {
        val present = context.statements.present(context.fleetView.upstreams[serviceName] ?: UpstreamList.EMPTY)
        return if (regions == null) present else present.where { context.regions.allowsUpstream(regions, it.dataCentre) }
    }

    /**
     * Places the request as [target] says at the service called [serviceName], for a caller that has waited as [wait] says.
     *
     * @param kept engines that are kept for requests ahead of this one.
     */
    fun place(
        service: ForwardService?,
        serviceName: String,
        target: AdmittedTarget,
        wait: CallerWait,
        kept: Set<InstanceId> = emptySet(),
    ): PlacementDecision {
        val known = presentAt(serviceName, target.regions).withoutAddresses(avoided)
        val open = openOf(known)
        if (open.isEmpty() && known.isNotEmpty()) return PlacementDecision.Limited(context.statements.waitsMs(known))
        val pauses = context.fleetView.routing.table?.pauseTargetsOf(serviceName)
        val isStreaming = target.route.kind is RouteKind.Streaming
        val demand = ForwardDemand(request.size, wait, isStreaming, pauses, rankAt(serviceName, target), request.prefixes)
        val candidates = open.without(triedProcesses).ifEmpty { open }
        return if (kept.isEmpty()) placeOn(candidates, demand, service) else placeBeside(kept, candidates, demand, service)
    }

    // Sends the request only if it can begin without the engines in [kept]; otherwise it waits for those that it would get if none were
    // kept, so that it is rejected only if these cannot answer it in time either.
    private fun placeBeside(
        kept: Set<InstanceId>,
        candidates: UpstreamList,
        demand: ForwardDemand,
        service: ForwardService?,
    ): PlacementDecision {
        val free = candidates.where { it.id !in kept }
        if (free.isNotEmpty()) placeOn(free, demand, service).let { if (it is PlacementDecision.Send) return it }
        val decision = context.placer.place(demand, service?.engine, candidates, Clocks.steadyMs())
        if (decision !is PlacementDecision.Send) return decision
        val queuedMs = decision.work.queuedPrefillMs
        val forecast = PrefillForecast(decision.work.prefillMs, queuedMs.values.maxOrNull() ?: 0.0)
        return PlacementDecision.Wait(forecast, decision.inputs, queuedMs.keys)
    }

    /** Rank of the request, [admitted] as given, at the service called [serviceName]; null if the service is not contended by rank. */
    fun rankAt(serviceName: String, admitted: AdmittedTarget): StatedRank? =
        context.fleetView.routing.table?.ranksOf(serviceName)?.let { StatedRank(it.levelOf(admitted.rank), it) }

    // The helpers of a long prompt take load as well, so it is placed on upstreams without a limit where there are some.
    private fun openOf(known: UpstreamList): UpstreamList {
        val open = context.statements.open(known)
        return if (request.size?.isShort == false) context.statements.unlimited(open).ifEmpty { open } else open
    }

    // Another request of this instance may have taken what an upstream still allows.
    private tailrec fun placeOn(candidates: UpstreamList, demand: ForwardDemand, service: ForwardService?): PlacementDecision {
        val decision = context.placer.place(demand, service?.engine, candidates, Clocks.steadyMs())
        if (decision !is PlacementDecision.Send) return decision
        val refusing = context.statements.tryTake(decision.work.placement)
        if (refusing.isEmpty()) return decision
        val others = candidates.without(refusing.map { it.processKey })
        if (others.isEmpty()) return PlacementDecision.Limited(context.statements.waitsMs(candidates))
        return placeOn(others, demand, service)
    }
}
