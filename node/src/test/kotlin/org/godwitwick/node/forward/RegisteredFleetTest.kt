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
        var listReads = 0
        var isDown = false

        fun registry() = object : InstanceRegistry {
            override fun announce(self: RegisteredInstance, ttlMs: Long): Result<Long, FeedFailure> {
                if (isDown) return Err(FeedFailure.Unreachable("down"))
                if (registered.put(self.id, self) == null) generation++
                return Ok(generation)
            }

            override fun instances(): Result<List<RegisteredInstance>, FeedFailure> {
                listReads++
                return if (isDown) Err(FeedFailure.Unreachable("down")) else Ok(registered.values.toList())
            }

            override fun sharedSecret(): Result<ByteArray, FeedFailure> = Ok(ByteArray(1))
        }

        fun remove(id: InstanceId) {
            registered.remove(id)
            generation++
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
