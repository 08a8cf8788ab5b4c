package org.godwitwick.node.forward

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.peer.FeedAnswer
import org.godwitwick.node.peer.FeedPull
import org.godwitwick.node.peer.ForwardLoad
import org.godwitwick.node.peer.MembersAnswer
import org.godwitwick.node.peer.MembersPull
import org.godwitwick.node.peer.Peer
import org.godwitwick.node.peer.PeerDirectory
import org.godwitwick.node.peer.PeerIdentity
import org.godwitwick.node.peer.PeerTransport
import org.slf4j.LoggerFactory
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Finds the other instances in the registry, exchanges loads with them, and passes on what is read of the store's feeds.
 *
 * @param caches what this instance has read of each feed, by the feed's name.
 */
class ForwardPeers(
    private val self: RegisteredInstance,
    private val registry: InstanceRegistry,
    loads: UpstreamLoads,
    private val peerLoads: PeerLoads,
    private val caches: Map<String, FeedCache>,
) : AutoCloseable {
    private val registration = Executors.newSingleThreadScheduledExecutor { Thread(it, "registration").apply { isDaemon = true } }
    private val exchange = Executors.newSingleThreadScheduledExecutor { Thread(it, "load-exchange").apply { isDaemon = true } }

    @Volatile
    private var transport: PeerTransport? = null
    private val loadExchange = LoadExchange(self, loads, peerLoads) { to, message -> transport?.send(to, message) }
    private val isTelling = AtomicBoolean()

    /** The registered instances. */
    val fleet = RegisteredFleet(self, registry) { to, pull ->
        transport?.request(to, pull, MEMBERS_TIMEOUT_MS)?.get() as? MembersAnswer
    }

    /** Registers this instance and begins the exchange. */
    fun start() {
        registration.schedule(::announceRegularly, FIRST_ANNOUNCE_MS, TimeUnit.MILLISECONDS)
        exchange.scheduleAtFixedRate(::tell, EXCHANGE_PERIOD_MS, EXCHANGE_PERIOD_MS, TimeUnit.MILLISECONDS)
    }

    /** Asks [to] about a feed; null when it doesn't answer within [timeoutMs]. */
    fun ask(to: InstanceId, pull: FeedPull, timeoutMs: Long): FeedAnswer? =
        transport?.request(to, pull, timeoutMs)?.get() as? FeedAnswer

    private fun announceRegularly() {
        guarded {
            if (transport == null) registry.sharedSecret().fold(::open) { log.warn("peer: no shared secret: {}", it.message) }
            fleet.refresh()
        }
        try {
            registration.schedule(::announceRegularly, fleet.periodMs, TimeUnit.MILLISECONDS)
        } catch (_: RejectedExecutionException) {
            log.debug("peer: the registration has stopped")
        }
    }

    private fun open(secret: ByteArray) {
        val directory = object : PeerDirectory {
            override fun addressOf(id: InstanceId): String? = fleet.others[id]?.address

            override fun livePeers(): List<Peer> = fleet.others.values.map { Peer(it.id, "", it.dataCentre) }
        }
        val opened = PeerTransport(PeerIdentity(self.id, System.currentTimeMillis(), secret), directory)
        opened.handle(ForwardLoad::class.java) { from, load ->
            peerLoads.take(from, load, Clocks.steadyMs())
            null
        }
        opened.handle(MembersPull::class.java) { _, pull -> fleet.answer(pull) }
        opened.handleLater(FeedPull::class.java) { _, pull ->
            caches[pull.feed]?.answer(pull)
                ?: CompletableFuture.completedFuture(null)
        }
        opened.start(self.address.substringBeforeLast(':'), self.address.substringAfterLast(':').toInt())
        transport = opened
    }

    private fun tell() = guarded {
        loadExchange.round(fleet.others.values, Clocks.steadyMs(), System.currentTimeMillis())
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

        /** Less than the target of a short request; each exchange costs processor time. */
        const val EXCHANGE_PERIOD_MS = 200L
        const val MEMBERS_TIMEOUT_MS = 300L
        val log = LoggerFactory.getLogger(ForwardPeers::class.java)
    }
}
