package org.godwitwick.node.forward

import org.godwitwick.core.forward.RelayPeers
import org.godwitwick.core.forward.UpstreamReach
import org.godwitwick.core.model.InstanceId
import org.slf4j.LoggerFactory
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * Sends requests through other instances while this one is cut off from all upstreams.
 *
 * Before it takes itself for cut off, it tries one more upstream of each service. While it is cut off, it tries regularly to connect to an
 * upstream, and sends requests itself again once one accepts.
 *
 * @param others returns the other instances by id.
 * @param upstreams returns the addresses of the registered upstreams, by service.
 * @param onCutOff called when this instance finds that it is cut off.
 */
class Relay(
    private val others: () -> Map<InstanceId, RegisteredInstance>,
    private val upstreams: () -> Map<String, List<String>>,
    private val connectTimeoutMs: Long,
    private val nowMs: () -> Long,
    private val random: Random,
    private val onCutOff: () -> Unit,
) : ConnectListener,
    AutoCloseable {
    private val reach = UpstreamReach()
    private val peers = RelayPeers(random)
    private var cutOffSinceMs = 0L
    private var isVerifying = false
    private val probes = Executors.newSingleThreadScheduledExecutor { Thread(it, "reach").apply { isDaemon = true } }

    /** Whether this instance is cut off from all upstreams. */
    @Volatile
    var isCutOff = false
        private set

    /** Starts the connection attempts that find the end of a cut. */
    fun start() {
        probes.scheduleWithFixedDelay(::probe, PROBE_PERIOD_MS, PROBE_PERIOD_MS, TimeUnit.MILLISECONDS)
    }

    override fun onConnected() {
        if (isCutOff) update { reach.onConnected() } else synchronized(this) { reach.onConnected() }
    }

    override fun onConnectFailed(address: String) {
        val mustVerify = synchronized(this) {
            reach.onConnectFailed(address, nowMs())
            (reach.isSuspected && !reach.isCutOff && !isVerifying).also { if (it) isVerifying = true }
        }
        if (mustVerify) execute(::verify)
    }

    private fun execute(task: () -> Unit) = try {
        probes.execute(task)
    } catch (_: RejectedExecutionException) {
        log.debug("reach: not verified because the executor was shut down")
    }

    // Tries an upstream of each service, so that the loss of all of one service does not count as a cut.
    private fun verify() {
        val candidates = synchronized(this) { upstreams().values.mapNotNull { reach.doubtful(it).randomOrNull(random) } }
        val accepts = candidates.any(::acceptsConnection)
        synchronized(this) { isVerifying = false }
        update { if (accepts) reach.onConnected() else reach.onSuspicionConfirmed() }
    }

    // Runs [change] and reports the begin or the end of a cut.
    private fun update(change: () -> Unit) {
        val now = nowMs()
        val hasBegun = synchronized(this) {
            change()
            if (reach.isCutOff == isCutOff) return
            isCutOff = reach.isCutOff
            if (isCutOff) cutOffSinceMs = now
            isCutOff
        }
        if (hasBegun) {
            log.warn("reach: no upstream accepts connections; requests go through {} other instances", others().size)
            onCutOff()
        } else {
            log.info("reach: upstreams accept connections again after {} ms", now - cutOffSinceMs)
        }
    }

    /**
     * Returns the instance to which a request goes next that was sent to [tried] before, or null if there is none for which [isAllowed]
     * returns true.
     */
    @Synchronized
    fun choose(tried: Set<InstanceId>, isAllowed: (RegisteredInstance) -> Boolean = { true }): RegisteredInstance? {
        val usable = others().filterValues { it.callerAddress != null && isAllowed(it) }
        return peers.choose(usable.keys, tried, nowMs())?.let(usable::get)
    }

    /** Records that [peer] did not take a request. */
    @Synchronized
    fun onRefused(peer: InstanceId) = peers.onRefused(peer, nowMs())

    private fun probe() {
        if (!isCutOff) return
        val address = upstreams().values.flatten().randomOrNull(random) ?: return
        if (acceptsConnection(address)) onConnected()
    }

    private fun acceptsConnection(address: String): Boolean = try {
        val host = address.substringBeforeLast(':')
        val port = address.substringAfterLast(':').toInt()
        Socket().use { it.connect(InetSocketAddress(host, port), connectTimeoutMs.toInt()) }
        true
    } catch (e: IOException) {
        log.debug("reach: {} does not accept a connection: {}", address, e.message)
        false
    }

    override fun close() {
        probes.shutdownNow()
    }

    private companion object {
        /** Short against the time for which callers notice a cut, long enough for an upstream to bear the connections. */
        const val PROBE_PERIOD_MS = 250L
        val log = LoggerFactory.getLogger(Relay::class.java)
    }
}
