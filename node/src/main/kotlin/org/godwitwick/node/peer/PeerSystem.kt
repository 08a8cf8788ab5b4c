package org.godwitwick.node.peer

import org.godwitwick.core.membership.Member
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.node.control.ControlThread
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.random.Random

/**
 * Peer network, row exchange and member table of one instance.
 *
 * @param secret secret shared by all instances, or null for an instance without peers.
 * @param configStatus returns this instance's configuration status; called on the control thread.
 */
class PeerSystem(
    self: Peer,
    incarnation: Long,
    secret: ByteArray?,
    private val control: ControlThread,
    private val listed: () -> List<ListedInstance>,
    private val configStatus: () -> ConfigStatus,
    private val host: String,
    private val port: Int = 0,
    limits: PeerLimits = PeerLimits(),
    private val monotonicMs: () -> Long = { System.nanoTime() / 1_000_000 },
) : AutoCloseable {
    private val directory = object : PeerDirectory {
        override fun addressOf(id: InstanceId): String? = membership.addressOf(id)

        override fun livePeers(): List<Peer> = membership.livePeers()
    }

    /** The TCP transport, or null for an instance without peers. */
    val transport: PeerTransport? = secret?.let { PeerTransport(PeerIdentity(self.id, incarnation, it), directory, limits) }

    /** Messages between instances. */
    val network: PeerNetwork = transport ?: NoPeers()

    /** Non-blocking messages, for use on the control thread. */
    val async: AsyncPeers = transport ?: NoAsyncPeers

    private val store = RowStore(self, incarnation, async, { membership.members }, control, monotonicMs, Random(incarnation))

    /** Versioned rows exchanged with the peers. */
    val rows: RowExchange = store

    /** The member table. */
    val membership: Membership =
        Membership(OwnMember(self, incarnation, ::advertisedAddress), listed, store) { configStatus() }

    /** All members, this instance included. May be read from any thread. */
    val members: List<Member> get() = membership.members

    /** Starts accepting peer connections and exchanging rows. */
    fun start() {
        network.handle(Exchange::class.java) { _, message -> onControl { store.answer(message) } }
        network.handle(RowPush::class.java) { from, message ->
            control.post { store.onPush(from, message) }
            null
        }
        transport?.start(host, port)
        control.post(::tick)
        control.every(EXCHANGE_PERIOD_MS, ::tick)
        control.every(STATUS_CHECK_PERIOD_MS) { membership.publishStatusChanges(monotonicMs()) }
    }

    override fun close() {
        transport?.close()
    }

    // With a wildcard address it is unknown which address peers can reach; they take it from the instance list.
    private fun advertisedAddress(): String? = transport?.takeIf { host !in WILDCARDS }?.let { "$host:${it.port}" }

    private fun tick() {
        membership.tick(monotonicMs())
        store.exchange()
    }

    private fun <T> onControl(query: () -> T?): T? = try {
        control.ask(query).get(CONTROL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
    } catch (_: TimeoutException) {
        null
    }

    private companion object {
        const val EXCHANGE_PERIOD_MS = 500L
        const val STATUS_CHECK_PERIOD_MS = 100L
        const val CONTROL_TIMEOUT_MS = 500L
        val WILDCARDS = setOf("0.0.0.0", "::")
    }
}
