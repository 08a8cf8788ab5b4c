package org.godwitwick.node.forward

import org.godwitwick.core.forward.Regions
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.model.InstanceId
import org.slf4j.LoggerFactory

/** Decides whether one request goes through another instance next, and through which. Used by one thread. */
class RequestRelay(private val relay: Relay, private val regions: Regions, private val request: CallerRequest) {
    private val usedPeers = HashSet<InstanceId>()
    private var failedConnections = 0

    /** Whether this instance must refuse the request, because another one has sent it here in vain. */
    val mustRefuse: Boolean get() = request.hop != null && reachesNone()

    /** Records that an upstream accepted no connection for the request. */
    fun onConnectionFailed() {
        failedConnections++
    }

    /**
     * Returns the instance through which the request goes next, which may be handled in [allowed] regions only, or null if this instance
     * sends it itself.
     */
    fun nextPeer(allowed: Set<String>?): RegisteredInstance? {
        if (request.hop != null || !reachesNone()) return null
        // If only the upstreams that were tried are down, the other instances don't reach them either.
        if (!relay.isCutOff && usedPeers.isNotEmpty()) return null
        val peer = relay.choose(usedPeers) { regions.allowsInstance(allowed, it.dataCentre) } ?: return null
        usedPeers += peer.id
        log.info("forward: {} goes through {}", request.id, peer.id)
        return peer
    }

    /** Records that [peer] could not serve the request. */
    fun onUnable(peer: RegisteredInstance) = relay.onRefused(peer.id)

    /** Whether [upstream] stands for an instance that serves the request. */
    fun isPeer(upstream: UpstreamEntry): Boolean = upstream.id in usedPeers

    private fun reachesNone(): Boolean = relay.isCutOff || failedConnections >= MIN_FAILED_BEFORE_RELAY

    private companion object {
        /** One upstream that does not accept a connection has mostly crashed; a second one is a reason to try another way. */
        const val MIN_FAILED_BEFORE_RELAY = 2
        val log = LoggerFactory.getLogger(RequestRelay::class.java)
    }
}
