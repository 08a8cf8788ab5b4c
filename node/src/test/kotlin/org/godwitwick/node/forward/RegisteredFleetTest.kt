package org.godwitwick.node.forward

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.godwitwick.core.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

class RegisteredFleetTest {
    private class Store {
        val registered = LinkedHashMap<InstanceId, RegisteredInstance>()
        var generation = 0L
        var era = 1L
        var listReads = 0
        var isDown = false

        fun registry() = object : InstanceRegistry {
            override fun announce(self: RegisteredInstance, ttlMs: Long): Result<FleetGeneration, FeedFailure> {
                if (isDown) return Err(FeedFailure.Unreachable("down"))
                if (registered.put(self.id, self) == null) generation++
                return Ok(FleetGeneration(era, generation))
            }

            override fun instances(): Result<List<RegisteredInstance>, FeedFailure> {
                listReads++
                return if (isDown) Err(FeedFailure.Unreachable("down")) else Ok(registered.values.toList())
            }

            override fun sharedSecret(known: ByteArray?): Result<SharedSecret, FeedFailure> = Ok(SharedSecret(ByteArray(1), era))
        }

        fun remove(id: InstanceId) {
            registered.remove(id)
            generation++
        }

        fun restore() {
            registered.clear()
            generation = 0
            era++
        }
    }

    private val store = Store()
    private val fleets = LinkedHashMap<InstanceId, RegisteredFleet>()
    private val failed = HashSet<InstanceId>()

    private fun add(index: Int): RegisteredFleet {
        val self = RegisteredInstance(InstanceId("entry-$index"), "dc-${index % 5}", "10.0.0.$index:1")
        return RegisteredFleet(self, store.registry()) { to, pull -> if (to in failed) null else fleets[to]?.answer(pull) }
            .also { fleets[self.id] = it }
    }

    private fun rounds(count: Int) = repeat(count) { fleets.filterKeys { it !in failed }.values.forEach { it.refresh() } }

    private fun startAll(count: Int) {
        (1..count).forEach(::add)
        rounds(4)
    }

    // Guards against every instance reading the instance list from the store at each change, so that calls grow with the square
    // of the fleet size, as in a rolling restart of a large fleet.
    @Test
    fun `only the readers read a change of a large fleet from the store`() {
        startAll(95)
        val before = store.listReads
        repeat(10) { i ->
            val removed = fleets.keys.elementAt(i * 7)
            fleets.remove(removed)
            store.remove(removed)
            add(200 + i)
            rounds(3)
        }
        expectThat((store.listReads - before) / 20.0).isLessThanOrEqualTo(12.0)
        expectThat(fleets.values.map { it.others.size }).all { isEqualTo(94) }
    }

    @Test
    fun `instances that start at the same time know each other within four rounds`() {
        startAll(95)
        expectThat(fleets.values.map { it.instanceCount }).all { isEqualTo(95) }
        expectThat(fleets.values.map { it.plan }.toSet().size).isEqualTo(1)
    }

    // Guards against a follower that never learns of a change because its readers have failed.
    @Test
    fun `a follower reads the list itself after all readers have been silent for several rounds`() {
        startAll(30)
        failed += fleets.values.first().plan.readers.values.flatten()
        add(99)
        rounds(12)
        expectThat(fleets.filterKeys { it !in failed }.values.map { it.others.size }).all { isEqualTo(30) }
    }

    // Guards against a list that is taken for the newest because the store gives its generation out again after its return from an
    // older copy.
    @Test
    fun `a change is known although the store has given its generation out again`() {
        startAll(9)
        store.restore()
        fleets.remove(InstanceId("entry-9"))
        add(10)
        rounds(6)
        expectThat(fleets.values.map { fleet -> fleet.others.keys + fleet.ids }.toSet().single().map { it.value }.toSet())
            .isEqualTo((1..8).plus(10).map { "entry-$it" }.toSet())
    }

    // Guards against shares of a common limit that grow while the instances register again one after the other.
    @Test
    fun `no instance is forgotten while all register again after the store's return from an older copy`() {
        startAll(9)
        store.restore()
        fleets.values.take(3).forEach { it.refresh() }
        expectThat(fleets.values.map { it.others.size }).all { isEqualTo(8) }
    }

    @Test
    fun `known instances are kept while the store is unreachable`() {
        startAll(30)
        store.isDown = true
        val before = store.listReads
        rounds(10)
        expectThat(fleets.values.map { it.others.size }).all { isEqualTo(29) }
        expectThat(store.listReads - before).isLessThan(1)
    }
}
