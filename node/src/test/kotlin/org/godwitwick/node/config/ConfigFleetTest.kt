package org.godwitwick.node.config

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import org.godwitwick.core.config.ConfigField
import org.godwitwick.core.config.ConfigRecord
import org.godwitwick.core.config.Freshness
import org.godwitwick.core.config.Publication
import org.godwitwick.core.config.decodeConfigRecord
import org.godwitwick.core.config.encodeConfigRecord
import org.godwitwick.core.membership.RowTopic
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.ListedKind
import org.godwitwick.node.await
import org.godwitwick.node.control.ControlThread
import org.godwitwick.node.peer.Peer
import org.godwitwick.node.peer.PeerLimits
import org.godwitwick.node.platform.LogFailure
import org.godwitwick.node.platform.LogPage
import org.godwitwick.node.platform.MemoryLog
import org.godwitwick.node.platform.PlatformLog
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.util.concurrent.CopyOnWriteArrayList

class ConfigFleetTest {
    /** Access of one instance to the log, which a test can cut off. */
    private class LogAccess(private val log: PlatformLog) : PlatformLog {
        @Volatile
        var isCut = false

        override fun append(stream: String, data: ByteArray, timeoutMs: Long): Result<Long, LogFailure> =
            if (isCut) Err(LogFailure.NotApplied("cut")) else log.append(stream, data, timeoutMs)

        override fun read(stream: String, fromOffset: Long, maxRecords: Int, waitMs: Long): Result<LogPage, LogFailure> =
            if (isCut) Err(LogFailure.NotApplied("cut")) else log.read(stream, fromOffset, maxRecords, waitMs)
    }

    private inner class Instance(val id: String, dataCentre: String, secret: String = "secret") : AutoCloseable {
        private val control = ControlThread()
        val access = LogAccess(log)
        val system = ConfigSystem(
            self = Peer(InstanceId(id), "ee-north", dataCentre),
            incarnation = System.currentTimeMillis(),
            secret = secret.toByteArray(),
            platformLog = access,
            listed = { list },
            control = control,
            bounds = ConfigBounds(),
            host = "127.0.0.1",
            peerPort = 0,
            peerLimits = PeerLimits(silentMs = 1_000, pingMs = 250),
            timeouts = PublicationTimeouts(inForceMs = 10_000),
        )

        init {
            system.start()
            list = list.filter { it.id.value != id } + row(dataCentre)
            instances.add(this)
        }

        val queueMax get() = system.view().integer(ConfigField.QUEUE_MAX)

        fun <T> onControl(query: () -> T): T = control.ask(query).get()

        private fun row(dataCentre: String) = ListedInstance(
            id = InstanceId(id),
            kind = ListedKind.ENTRY,
            address = "unused",
            peerAddress = "127.0.0.1:${checkNotNull(system.peers.transport).port}",
            region = "ee-north",
            dataCentre = dataCentre,
        )

        override fun close() {
            system.close()
            control.close()
            instances.remove(this)
        }
    }

    @Volatile
    private var list: List<ListedInstance> = emptyList()
    private val log = MemoryLog()
    private val instances = CopyOnWriteArrayList<Instance>()

    @AfterEach
    fun closeAll() = instances.forEach { it.close() }

    private fun fleet(dataCentres: Int, each: Int) {
        repeat(dataCentres) { d -> repeat(each) { Instance("entry-$d-$it", "dc-$d") } }
        await("all current") { instances.all { it.system.freshness() == Freshness.Current } }
        await("all live") { instances.all { it.system.peers.members.count { member -> member.isLive } == dataCentres * each } }
    }

    // Guards against instances without log access missing a change, and against a false report of where a version is in force.
    @Test
    fun `a publication reaches all instances, also in a data centre without access to the log`() {
        fleet(dataCentres = 3, each = 3)
        instances.filter { it.id.startsWith("entry-2") }.forEach { it.access.isCut = true }
        val publishedNs = System.nanoTime()
        val result = publish(queueMax("a", 77))
        println("publication known to be in force on 9 instances after ${(System.nanoTime() - publishedNs) / 1_000_000} ms")
        expectThat(result).isA<PublicationResult.Accepted>().and {
            get { inForce }.hasSize(9)
            get { notConfirmed }.isEmpty()
        }
        expectThat(instances.map { it.queueMax }.toSet()).isEqualTo(setOf(77L))
        val startNs = System.nanoTime()
        val sentBefore = sentBytes()
        await("five seconds of service") {
            System.nanoTime() - startNs > 5_000_000_000 ||
                instances.any { it.system.follower.refusesWork() }
        }
        expectThat(instances.filter { it.system.follower.refusesWork() }.map { it.id }).isEmpty()
        val perSecond = (sentBytes() - sentBefore) * 1_000_000_000 / (System.nanoTime() - startNs) / instances.size
        println("peer bytes sent per instance and second: $perSecond")
        expectThat(perSecond).isLessThan(MAX_BYTES_PER_SECOND)
    }

    // An instance that has not received the confirmations of a majority yet refuses publications and states when to retry.
    private fun publish(publication: Publication): PublicationResult {
        val publications = instances.first().system.publications
        var result: PublicationResult = PublicationResult.NotAppended("not tried", 0)
        await("a confirmed majority") {
            result = publications.publish(publication)
            result !is PublicationResult.NotAppended
        }
        expectThat(result).isA<PublicationResult.Accepted>()
        return result
    }

    private fun sentBytes() = instances.sumOf { checkNotNull(it.system.peers.transport).sentBytes }

    // Guards against a log outage stopping the fleet, an instance that starts during it serving defaults, and an isolated
    // instance continuing to serve.
    @Test
    fun `in a log outage instances continue, a new one starts from its peers and an isolated one refuses work`() {
        fleet(dataCentres = 2, each = 3)
        publish(queueMax("a", 77))
        log.isDown = true
        var refused = false
        await("outage detected by all instances") {
            refused = refused || instances.any { it.system.follower.refusesWork() }
            instances.all { it.system.freshness() == Freshness.LogDown }
        }
        expectThat(refused).isEqualTo(false)
        val late = Instance("entry-late", "dc-1")
        await("the new instance serves") { late.system.freshness() == Freshness.LogDown }
        expectThat(late.queueMax).isEqualTo(77)
        val alone = Instance("entry-alone", "dc-1", secret = "other")
        list = list.filter { it.id.value != alone.id }
        await("outage detected again") { instances.filter { it != alone }.all { it.system.freshness() == Freshness.LogDown } }
        expectThat(alone.system.follower.refusesWork()).isEqualTo(true)
        log.isDown = false
        val others = instances.filter { it != alone }
        var hasRefused = false
        await("all other instances current again") {
            hasRefused = hasRefused || others.any { it.system.follower.refusesWork() }
            others.all { it.system.freshness() == Freshness.Current }
        }
        expectThat(hasRefused).isEqualTo(false)
    }

    // Guards against configuration that exists only in memory, and against depending on records that the log no longer retains.
    @Test
    fun `the configuration survives the replacement of all instances and the expiry of the first records`() {
        fleet(dataCentres = 1, each = 3)
        publish(queueMax("a", 5))
        publish(queueMax("b", 6, expected = 0))
        val before = instances.first().system.store.state
        log.append(CONFIG_STREAM, encodeConfigRecord(ConfigRecord.Snapshot(before.toSnapshot())), 100)
        log.expireBefore(2)
        instances.toList().forEach { it.close() }
        list = emptyList()
        repeat(3) { Instance("new-$it", "dc-0") }
        await("all current") { instances.all { it.system.freshness() == Freshness.Current } }
        expectThat(instances.map { it.queueMax }.toSet()).isEqualTo(setOf(6L))
        expectThat(instances.first().system.store.state.entries).isEqualTo(before.entries)
        expectThat(
            log.records(CONFIG_STREAM).map {
                decodeConfigRecord(it.data)
            }.filterIsInstance<ConfigRecord.Snapshot>().size > 0,
        )
            .isEqualTo(true)
    }

    // Guards against urgent rows being delayed until the next exchange, or not leaving the owner's data centre.
    @Test
    fun `an urgent row reaches all data centres`() {
        fleet(dataCentres = 2, each = 3)
        val owner = instances.first()
        owner.onControl { owner.system.peers.rows.publishUrgent(RowTopic.SUSPICION, "fingerprint", byteArrayOf(1)) }
        await("row everywhere") { instances.all { it.onControl { it.system.peers.rows.rows(RowTopic.SUSPICION) }.size == 1 } }
    }

    private companion object {
        // Control traffic of an instance is limited to 16 KB/s.
        const val MAX_BYTES_PER_SECOND = 16_384L
    }
}
