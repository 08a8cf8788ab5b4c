package org.godwitwick.node.forward

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import org.godwitwick.core.health.TraitRow
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
import org.godwitwick.node.peer.QuarantineRows
import org.godwitwick.node.peer.StatementRow
import org.slf4j.LoggerFactory
import java.io.IOException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random

/**
 * Finds the other instances through the registry, exchanges loads and observations of crashes with them, and answers their pulls
 * of the store's feeds.
 *
 * @param recentWork returns the recent work of this instance by organisation, in milliseconds, at a monotonic time.
 * @param caches cache of each feed, by the feed's name.
 * @param onStatement called with what an upstream stated about itself to another instance.
 * @param onStoreRestored called when the store has returned from an older copy and this instance is to write again what the fleet
 *   keeps there.
 */
class ForwardPeers(
    private val self: RegisteredInstance,
    private val registry: InstanceRegistry,
    loads: UpstreamLoads,
    private val peerLoads: PeerLoads,
    recentWork: (nowMs: Long) -> Map<Int, Double>,
    private val caches: Map<String, FeedCache>,
    private val crashGuard: CrashGuard,
    private val onStatement: (StatementRow) -> Unit,
    private val onStoreRestored: () -> Unit,
) : AutoCloseable {
    private val registration = Executors.newSingleThreadScheduledExecutor { Thread(it, "registration").apply { isDaemon = true } }
    private val exchange = Executors.newSingleThreadScheduledExecutor { Thread(it, "load-exchange").apply { isDaemon = true } }

    @Volatile
    private var transport: PeerTransport? = null
    private var secretEra: Long? = null
    private val loadExchange = LoadExchange(self, loads, peerLoads, recentWork) { to, message -> transport?.send(to, message) }
    private val quarantineExchange =
        QuarantineExchange(crashGuard::lastingRows, Random.Default) { to, message -> transport?.send(to, message) }
    private val isSendScheduled = AtomicBoolean()

    /** The secret that only the instances share, or null while it is not known. */
    @Volatile
    var secret: ByteArray? = null
        private set

    /** The registered instances, as known to this one. */
    val fleet = RegisteredFleet(self, registry) { to, pull ->
        transport?.request(to, pull, MEMBERS_TIMEOUT_MS)?.get() as? MembersAnswer
    }

    /** Starts to register this instance regularly and to exchange loads. */
    fun start() {
        registration.schedule(::announceRegularly, FIRST_ANNOUNCE_DELAY_MS, TimeUnit.MILLISECONDS)
        exchange.scheduleAtFixedRate(::exchangeLoads, EXCHANGE_PERIOD_MS, EXCHANGE_PERIOD_MS, TimeUnit.MILLISECONDS)
        exchange.scheduleAtFixedRate(
            { guarded { quarantineExchange.round(fleet.others.keys) } },
            QUARANTINE_PERIOD_MS,
            QUARANTINE_PERIOD_MS,
            TimeUnit.MILLISECONDS,
        )
    }

    /** Sends [pull] to instance [to]; returns null if there is no answer within [timeoutMs]. */
    fun ask(to: InstanceId, pull: FeedPull, timeoutMs: Long): FeedAnswer? =
        transport?.request(to, pull, timeoutMs)?.get() as? FeedAnswer

    private fun announceRegularly() {
        guarded {
            if (transport == null) readSecret()
            fleet.refresh()
            // A store that has returned from an older copy may have no secret or another one.
            val era = fleet.era
            if (era != null && secretEra != era) {
                if (secretEra != null && fleet.plan.isReader(self.id)) onStoreRestored()
                readSecret()
            }
        }
        try {
            registration.schedule(::announceRegularly, fleet.periodMs, TimeUnit.MILLISECONDS)
        } catch (_: RejectedExecutionException) {
            log.debug("peer: registration ends because its executor was shut down")
        }
    }

    private fun readSecret() {
        registry.sharedSecret(secret).fold(::onSecret) { log.warn("peer: no shared secret: {}", it.message) }
    }

    private fun onSecret(read: SharedSecret) {
        val stored = read.bytes
        secretEra = read.era
        if (transport != null && stored.contentEquals(secret)) return
        if (transport != null) log.warn("peer: the shared secret has changed; connecting to the other instances again")
        transport?.close()
        transport = null
        secret = stored
        listen(stored)
    }

    private fun listen(secret: ByteArray) {
        val directory = object : PeerDirectory {
            override fun addressOf(id: InstanceId): String? = fleet.others[id]?.address

            override fun livePeers(): List<Peer> = fleet.others.values.map { Peer(it.id, "", it.dataCentre) }
        }
        val opened = PeerTransport(PeerIdentity(self.id, System.currentTimeMillis(), secret), directory)
        opened.handle(ForwardLoad::class.java) { from, load ->
            peerLoads.onReport(from, load, Clocks.steadyMs())
            null
        }
        opened.handle(QuarantineRows::class.java) { from, message ->
            crashGuard.onRows(from.value, message.rows)
            null
        }
        opened.handle(StatementRow::class.java) { _, row ->
            onStatement(row)
            null
        }
        opened.handle(MembersPull::class.java) { _, pull -> fleet.answer(pull) }
        opened.handleLater(FeedPull::class.java) { _, pull ->
            caches[pull.feed]?.answer(pull)
                ?: CompletableFuture.completedFuture(null)
        }
        try {
            opened.start(self.address.substringBeforeLast(':'), self.address.substringAfterLast(':').toInt())
            transport = opened
        } catch (e: IOException) {
            // Tried again at the next registration, for example while the process before still holds the port.
            log.warn("peer: cannot listen on {}: {}", self.address, e.message)
            opened.close()
        }
    }

    private fun exchangeLoads() = guarded {
        loadExchange.round(fleet.others.values, Clocks.steadyMs(), System.currentTimeMillis())
    }

    /** Schedules an immediate send of this instance's load, without waiting for the next round of the exchange. */
    fun sendLoadSoon() {
        if (!isSendScheduled.compareAndSet(false, true)) return
        executeSoon {
            isSendScheduled.set(false)
            loadExchange.sendNow(Clocks.steadyMs(), System.currentTimeMillis())
        }
    }

    /** Sends [rows], which are new, to all other instances, together with others of the same moment. Does not wait. */
    fun sendQuarantine(rows: List<TraitRow>) {
        if (quarantineExchange.offer(rows)) executeSoon(QUARANTINE_DELAY_MS) { quarantineExchange.flush(fleet.others.keys) }
    }

    /** Sends what an upstream stated to all other instances. Does not wait. */
    fun sendStatement(row: StatementRow) = executeSoon { fleet.others.keys.forEach { transport?.send(it, row) } }

    private fun executeSoon(delayMs: Long = 0, task: () -> Unit) = try {
        exchange.schedule({ guarded(task) }, delayMs, TimeUnit.MILLISECONDS)
    } catch (_: RejectedExecutionException) {
        log.debug("peer: message not sent because the executor of the exchanges was shut down")
    }

    // The executor does not run a periodic task again after it throws.
    private fun guarded(task: () -> Unit) = try {
        task()
    } catch (e: RuntimeException) {
        log.error("peer: a task of the registration or the load exchange failed", e)
    }

    override fun close() {
        registration.shutdownNow()
        exchange.shutdownNow()
        transport?.close()
    }

    private companion object {
        /**
         * Registration may wait until a starting instance serves callers, but not for long: without peers its placement is
         * coarse.
         */
        const val FIRST_ANNOUNCE_DELAY_MS = 300L

        /** Less than the target latency of a short request. A shorter period would cost more processor time. */
        const val EXCHANGE_PERIOD_MS = 200L

        /** An instance that missed an observation hears of it within a few rounds, well within the contact window of the platform. */
        const val QUARANTINE_PERIOD_MS = 500L

        /** The requests on a crashed upstream break within some ten milliseconds. */
        const val QUARANTINE_DELAY_MS = 20L
        const val MEMBERS_TIMEOUT_MS = 300L
        val log = LoggerFactory.getLogger(ForwardPeers::class.java)
    }
}
