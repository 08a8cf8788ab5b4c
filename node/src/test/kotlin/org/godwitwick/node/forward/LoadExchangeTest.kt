package org.godwitwick.node.forward

import kotlinx.serialization.ExperimentalSerializationApi
import org.godwitwick.core.forward.LoadExchangePlan
import org.godwitwick.core.forward.Placement
import org.godwitwick.core.forward.RecentWork
import org.godwitwick.core.forward.StreamLevels
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.UpstreamWork
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.peer.ForwardLoad
import org.godwitwick.node.peer.PeerMessage
import org.godwitwick.node.peer.peerCbor
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo

@OptIn(ExperimentalSerializationApi::class)
class LoadExchangeTest {
    private class Instance(val registered: RegisteredInstance, send: (InstanceId, ForwardLoad) -> Unit) {
        val loads = UpstreamLoads()
        val peerLoads = PeerLoads()
        val work = FleetRecentWork(peerLoads)
        val exchange = LoadExchange(registered, loads, peerLoads, work::own, send)
    }

    private class Fleet(count: Int) {
        val registered = (1..count).map { RegisteredInstance(InstanceId("entry-$it"), "dc-${it % 3}", "10.0.0.$it:1") }
        val ids = registered.map { it.id }
        private val othersOf = registered.associate { self -> self.id to registered.filter { it != self } }
        val down = HashSet<InstanceId>()
        var messages = 0
        val sent = HashMap<InstanceId, Int>()
        var nowMs = 0L
        val instances: Map<InstanceId, Instance> =
            registered.associate { self -> self.id to Instance(self) { to, load -> deliver(self.id, to, load) } }

        private fun deliver(from: InstanceId, to: InstanceId, load: ForwardLoad) {
            messages++
            sent.merge(from, 1, Int::plus)
            if (to !in down) instances.getValue(to).peerLoads.onReport(from, load, nowMs)
        }

        fun rounds(count: Int) = repeat(count) {
            nowMs += PERIOD_MS
            instances.filterKeys { it !in down }.forEach { (id, it) -> it.exchange.round(othersOf.getValue(id), nowMs, nowMs) }
        }

        fun runningAt(upstream: UpstreamEntry): Map<InstanceId, Int> = instances.filterKeys { it !in down }
            .mapValues { it.value.loads.workAt(upstream, nowMs).running + it.value.peerLoads.at(nowMs).workAt(upstream).running }

        fun levelsAt(upstream: UpstreamEntry): List<StreamLevels> = instances.filterKeys { it !in down }
            .values.map { it.loads.workAt(upstream, nowMs).levels + it.peerLoads.at(nowMs).workAt(upstream).levels }
    }

    private val upstream = UpstreamEntry(InstanceId("engine"), "llm", "10.0.0.1:1", "dc", 8, isLeaving = false, startedAtMs = 1)

    private fun Instance.begin(level: Int? = null) =
        loads.begin(PlacedWork(Placement(upstream, emptyList()), 0.0, 1_000, isShortStream = true, level = level), 0)

    // Guards against work that counts twice or not at all when bursts arrive at all instances of a fleet at once.
    @Test
    fun `every instance knows the work of all instances at any fleet size`() {
        for (size in listOf(2, 9, 12, 13, 71)) {
            val fleet = Fleet(size)
            fleet.instances.values.forEach { it.begin() }
            fleet.rounds(6)
            expectThat(fleet.runningAt(upstream).values.toList()).all { isEqualTo(size) }
            expectThat(fleet.instances.values.map { it.peerLoads.at(fleet.nowMs).instances }).all { isEqualTo(size - 1) }
        }
    }

    @Test
    fun `work that has ended no longer counts at any instance`() {
        val fleet = Fleet(30)
        val work = fleet.instances.values.map { it.begin() }
        fleet.rounds(6)
        work.forEach { it.end() }
        fleet.rounds(6)
        expectThat(fleet.runningAt(upstream).values.toList()).all { isEqualTo(UpstreamWork().running) }
    }

    // Guards against an organisation's work that counts twice or not at all, whichever way it is reported.
    @Test
    fun `every instance knows the recent work of organisations at any fleet size`() {
        for (size in listOf(2, 12, 13, 71)) {
            val fleet = Fleet(size)
            fleet.rounds(5)
            fleet.instances.values.forEach { it.work.add(ORGANISATION, 1_000.0, fleet.nowMs) }
            fleet.rounds(3)
            val known = fleet.instances.values.map { it.work.all(fleet.nowMs).getValue(ORGANISATION) }
            expectThat(known).all { isIn(700.0 * size..1_000.0 * size) }
        }
    }

    // Guards against reports that count for ever, and against decisions that stop when reports do.
    @Test
    fun `an instance that gets no more reports counts its own work only`() {
        val fleet = Fleet(2)
        fleet.instances.values.forEach { it.work.add(ORGANISATION, 1_000.0, 0) }
        fleet.rounds(1)
        val nowMs = fleet.nowMs + 1_001
        fleet.instances.values.forEach { expectThat(it.work.all(nowMs)).isEqualTo(it.work.own(nowMs)) }
    }

    // Guards against a new field in the messages of deployments without ranks, and against one that grows with the organisations.
    @Test
    fun `a report names the largest organisations, and without work none`() {
        val work = (1..100).associate { "organisation-$it".hashCode() to it * 1_000.0 }
        val load = ForwardLoad.of(emptyMap(), 0, recentWork = work)
        expectThat(load.recentWork()).isEqualTo(work.filterValues { it > (100 - RecentWork.MAX_REPORTED) * 1_000.0 })
        expectThat(peerCbor.encodeToByteArray(ForwardLoad.serializer(), load).size).isLessThanOrEqualTo(400)
        val plain = peerCbor.encodeToByteArray(ForwardLoad.serializer(), ForwardLoad.of(emptyMap(), 0))
        val former = ForwardLoad(0, emptyList(), emptyList(), emptyList(), emptyList(), emptyList(), emptyList())
        expectThat(plain.toList()).isEqualTo(peerCbor.encodeToByteArray(ForwardLoad.serializer(), former).toList())
    }

    // Guards against instances that choose the same idle engines when long prompts arrive at several instances almost at once.
    @Test
    fun `work sent by sendNow is known to all instances of a small fleet before the next round`() {
        val fleet = Fleet(9)
        fleet.rounds(6)
        val first = fleet.instances.values.first()
        first.begin()
        first.exchange.sendNow(fleet.nowMs + 1, fleet.nowMs + 1)
        expectThat(fleet.runningAt(upstream).values.toList()).all { isEqualTo(1) }
    }

    // Guards against instances that take the engines of another instance's streams for free of streams that outrank a prompt.
    @Test
    fun `every instance knows the streams by level of all instances until their reports stop`() {
        for (size in listOf(2, 12, 71)) {
            val fleet = Fleet(size)
            fleet.instances.values.forEachIndexed { i, it -> it.begin(level = i % 2) }
            fleet.rounds(6)
            expectThat(fleet.levelsAt(upstream)).all { isEqualTo(StreamLevels.of { if (it < 2) (size + 1 - it) / 2 else 0 }) }
        }
        val pair = Fleet(2)
        pair.instances.values.forEach { it.begin(level = 1) }
        pair.rounds(6)
        pair.down += pair.ids.first()
        pair.rounds(6)
        expectThat(pair.levelsAt(upstream).single().total).isEqualTo(1)
    }

    // Guards against a peer of the version before, whose streams would count as none, or whose report would be dropped.
    @Test
    fun `a report without levels counts as before`() {
        val peerLoads = PeerLoads()
        val key = ForwardLoad.keyOf(upstream.id)
        val load = ForwardLoad(1_000, listOf(key), listOf(120), listOf(3), listOf(2), listOf(0), listOf(40))
        peerLoads.onReport(InstanceId("old"), load, 0)
        expectThat(peerLoads.at(0).workAt(upstream)).isEqualTo(UpstreamWork(120.0, 3, 2, 0, 40_000))
        val malformed =
            ForwardLoad(1_100, listOf(key), listOf(120), listOf(3), listOf(2), listOf(0), listOf(40), levels = listOf(1, 2))
        expectThat(malformed.byUpstream()).isEqualTo(load.byUpstream())
        expectThat(ForwardLoad.of(load.byUpstream(), 1_000).levels).isEmpty()
    }

    // Guards against load reports that outgrow the budget for control traffic, 16 KB/s for an instance, by the streams by level.
    @Test
    fun `streams of three levels add at most three bytes to what a report says about an upstream on average`() {
        fun bytes(levels: (Int) -> StreamLevels): Int {
            val rows = (1..200).associateWith { UpstreamWork(300.0, 5, 4, 2, 90_000, levels(it)) }
            return peerCbor.encodeToByteArray(PeerMessage.serializer(), ForwardLoad.of(rows, 1_000)).size
        }
        val countsOf = listOf(intArrayOf(5, 0, 0), intArrayOf(4, 1, 0), intArrayOf(0, 0, 1), intArrayOf(0, 2, 0))
        val withLevels = bytes { i -> StreamLevels.of { countsOf[i % 4].getOrElse(it) { 0 } } }
        expectThat(withLevels - bytes { StreamLevels.NONE }).isLessThanOrEqualTo(3 * 200 + 10)
    }

    // Guards against a number of messages that grows with the square of the fleet size.
    @Test
    fun `a large fleet sends at most four messages per instance and round`() {
        val fleet = Fleet(520)
        fleet.instances.values.forEach { it.begin() }
        fleet.rounds(10)
        expectThat(fleet.messages).isLessThanOrEqualTo(4 * 520 * 10)
    }

    // Guards against a single instance that has to send the totals to the whole fleet.
    @Test
    fun `an instance sends at most four messages per round more than its data centre has instances`() {
        val fleet = Fleet(96)
        fleet.instances.values.forEach { it.begin() }
        fleet.rounds(10)
        expectThat(fleet.sent.values.max()).isLessThanOrEqualTo((96 / 3 + 4) * 10)
    }

    @Test
    fun `the second collector sends the totals within two seconds after the first one has failed`() {
        val fleet = Fleet(30)
        fleet.instances.values.forEach { it.begin() }
        fleet.rounds(6)
        fleet.down += LoadExchangePlan.of(fleet.registered.associate { it.id to it.dataCentre }).collectorsOf("dc-1").first()
        fleet.rounds((2_000 / PERIOD_MS).toInt())
        expectThat(fleet.runningAt(upstream).values.toList()).all { isEqualTo(29) }
        expectThat(fleet.instances.filterKeys { it !in fleet.down }.values.map { it.peerLoads.at(fleet.nowMs).instances })
            .all { isEqualTo(28) }
    }

    private companion object {
        const val PERIOD_MS = 200L
        const val ORGANISATION = 7
    }
}
