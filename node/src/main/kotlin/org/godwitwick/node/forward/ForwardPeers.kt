package org.godwitwick.node.forward

import com.github.michaelbull.result.fold
import org.godwitwick.core.forward.FleetSize
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.peer.ForwardLoad
import org.godwitwick.node.peer.Peer
import org.godwitwick.node.peer.PeerDirectory
import org.godwitwick.node.peer.PeerIdentity
import org.godwitwick.node.peer.PeerTransport
import org.slf4j.LoggerFactory
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

/** Finds the other instances in the registry and exchanges loads with them. */
class ForwardPeers(
    private val self: RegisteredInstance,
    private val registry: InstanceRegistry,
    loads: UpstreamLoads,
    private val peerLoads: PeerLoads,
) : AutoCloseable {
    private val registration = Executors.newSingleThreadScheduledExecutor { Thread(it, "registration").apply { isDaemon = true } }
    private val exchange = Executors.newSingleThreadScheduledExecutor { Thread(it, "load-exchange").apply { isDaemon = true } }

    @Volatile
    private var others: Map<InstanceId, RegisteredInstance> = emptyMap()

    @Volatile
    private var transport: PeerTransport? = null
    private val loadExchange = LoadExchange(self.id, loads, peerLoads) { to, message -> transport?.send(to, message) }

    private val isTelling = AtomicBoolean()
    private val fleetSize = FleetSize()

    /** Instances of the fleet, this one included; null until they are known. */
    @Volatile
    var instanceCount: Int? = null
        private set

    /** The most instances that the fleet is known to have had; null until they are known. */
    @Volatile
    var largestFleet: Int? = null
        private set

    /** Registers this instance and begins the exchange. */
    fun start() {
        registration.schedule(::announceRegularly, FIRST_ANNOUNCE_MS, TimeUnit.MILLISECONDS)
        exchange.scheduleAtFixedRate(::tell, EXCHANGE_PERIOD_MS, EXCHANGE_PERIOD_MS, TimeUnit.MILLISECONDS)
    }

    private fun announceRegularly() {
        announce()
        val periodMs = if (instanceCount == null) SEARCH_PERIOD_MS else ANNOUNCE_PERIOD_MS
        try {
            registration.schedule(::announceRegularly, periodMs, TimeUnit.MILLISECONDS)
        } catch (_: RejectedExecutionException) {
            log.debug("peer: the registration has stopped")
        }
    }

    private fun announce() = guarded {
        if (transport == null) registry.sharedSecret().fold(::open) { log.warn("peer: no shared secret: {}", it.message) }
        registry.announce(self).fold(::update) { log.debug("peer: the registry was not reached: {}", it.message) }
    }

    private fun open(secret: ByteArray) {
        val directory = object : PeerDirectory {
            override fun addressOf(id: InstanceId): String? = others[id]?.address

            override fun livePeers(): List<Peer> = others.values.map { Peer(it.id, "", it.dataCentre) }
        }
        val opened = PeerTransport(PeerIdentity(self.id, System.currentTimeMillis(), secret), directory)
        opened.handle(ForwardLoad::class.java) { from, load ->
            peerLoads.take(from, load, Clocks.steadyMs())
            null
        }
        opened.start(self.address.substringBeforeLast(':'), self.address.substringAfterLast(':').toInt())
        transport = opened
    }

    private fun update(all: List<RegisteredInstance>) {
        val now = all.filter { it.id != self.id }.associateBy { it.id }
        if (now != others) log.info("peer: {} other instances are registered", now.size)
        others = now
        fleetSize.onRegistered(now.size + 1)
        instanceCount = fleetSize.settled
        largestFleet = fleetSize.largest
    }

    private fun tell() = guarded {
        loadExchange.round(others.keys, Clocks.steadyMs(), System.currentTimeMillis())
    }

    /** Tells the others soon what was placed, without waiting for the next round of the exchange. */
    fun tellSoon() {
        if (!isTelling.compareAndSet(false, true)) return
        try {
            exchange.execute {
                isTelling.set(false)
                guarded { loadExchange.tellNow(Clocks.steadyMs(), System.currentTimeMillis()) }
            }
        } catch (_: RejectedExecutionException) {
            log.debug("peer: the exchange has stopped")
        }
    }

    // A scheduled task that throws is never run again.
    private fun guarded(task: () -> Unit) = try {
        task()
    } catch (e: RuntimeException) {
        log.error("peer: task failed", e)
    }

    override fun close() {
        registration.shutdownNow()
        exchange.shutdownNow()
        transport?.close()
    }

    private companion object {
        /** Peers can wait until an instance that starts has begun to serve, but not for long: its placement is coarse without them. */
        const val FIRST_ANNOUNCE_MS = 300L

        /** A third of the registration's time to live. */
        const val ANNOUNCE_PERIOD_MS = 1_000L

        /** Period until the others are known, since placement is coarse before; the store counts a registration as a tenth of a call. */
        const val SEARCH_PERIOD_MS = 300L

        /** Less than the target of a short request; each exchange costs processor time. */
        const val EXCHANGE_PERIOD_MS = 200L
        val log = LoggerFactory.getLogger(ForwardPeers::class.java)
    }
}
