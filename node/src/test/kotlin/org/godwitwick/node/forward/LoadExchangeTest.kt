package org.godwitwick.node.forward

import org.godwitwick.core.forward.LoadExchangePlan
import org.godwitwick.core.forward.Placement
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.UpstreamWork
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.peer.ForwardLoad
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class LoadExchangeTest {
    private class Instance(val id: InstanceId, send: (InstanceId, ForwardLoad) -> Unit) {
        val loads = UpstreamLoads()
        val peerLoads = PeerLoads()
        val exchange = LoadExchange(id, loads, peerLoads, send)
    }

    private class Fleet(count: Int) {
        val ids = (1..count).map { InstanceId("entry-$it") }
        val down = HashSet<InstanceId>()
        var messages = 0
        var nowMs = 0L
        val instances: Map<InstanceId, Instance> = ids.associateWith { id -> Instance(id) { to, load -> deliver(id, to, load) } }

        private fun deliver(from: InstanceId, to: InstanceId, load: ForwardLoad) {
            messages++
            if (to !in down) instances.getValue(to).peerLoads.take(from, load, nowMs)
        }

        fun rounds(count: Int) = repeat(count) {
            nowMs += PERIOD_MS
            instances.values.filter { it.id !in down }.forEach { it.exchange.round(ids.toSet() - it.id, nowMs, nowMs) }
        }

        fun runningAt(upstream: UpstreamEntry): Map<InstanceId, Int> = instances.filterKeys { it !in down }
            .mapValues { it.value.loads.workAt(upstream, nowMs).running + it.value.peerLoads.workAt(upstream, nowMs).running }
    }

    private val upstream = UpstreamEntry(InstanceId("engine"), "llm", "10.0.0.1:1", "dc", 8, isLeaving = false, bornMs = 1)

    private fun Instance.begin() = loads.begin(PlacedWork(Placement(upstream, emptyList()), 0.0, 1_000, isShortStream = true), 0)

    // The load pattern: bursts that arrive at all instances of a fleet at once. Guards against work that counts twice or not at all.
    @Test
    fun `every instance knows the work of all, at any size of the fleet`() {
        for (size in listOf(2, 9, 12, 13, 71)) {
            val fleet = Fleet(size)
            fleet.instances.values.forEach { it.begin() }
            fleet.rounds(6)
            expectThat(fleet.runningAt(upstream).values.toList()).all { isEqualTo(size) }
            expectThat(fleet.instances.values.map { it.peerLoads.heardAt(fleet.nowMs) }).all { isEqualTo(size - 1) }
        }
    }

    @Test
    fun `work that has ended is forgotten by all`() {
        val fleet = Fleet(30)
        val work = fleet.instances.values.map { it.begin() }
        fleet.rounds(6)
        work.forEach { it.end() }
        fleet.rounds(6)
        expectThat(fleet.runningAt(upstream).values.toList()).all { isEqualTo(UpstreamWork().running) }
    }

    // The load pattern: long prompts at several instances within a moment. Guards against instances that choose the same idle engines.
    @Test
    fun `work that is told at once is known to all of a small fleet before the next round`() {
        val fleet = Fleet(9)
        fleet.rounds(6)
        val first = fleet.instances.values.first()
        first.begin()
        first.exchange.tellNow(fleet.nowMs + 1, fleet.nowMs + 1)
        expectThat(fleet.runningAt(upstream).values.toList()).all { isEqualTo(1) }
    }

    // Guards against messages that grow with the square of the fleet.
    @Test
    fun `a large fleet sends at most four messages for each instance and round`() {
        val fleet = Fleet(520)
        fleet.instances.values.forEach { it.begin() }
        fleet.rounds(10)
        expectThat(fleet.messages).isLessThanOrEqualTo(4 * 520 * 10)
    }

    @Test
    fun `after the first collector is lost the second one tells the work within two seconds`() {
        val fleet = Fleet(30)
        fleet.instances.values.forEach { it.begin() }
        fleet.rounds(6)
        fleet.down += LoadExchangePlan.of(fleet.ids.toSet()).collectors.first()
        fleet.rounds((2_000 / PERIOD_MS).toInt())
        expectThat(fleet.runningAt(upstream).values.toList()).all { isEqualTo(29) }
    }

    private companion object {
        const val PERIOD_MS = 200L
    }
}
