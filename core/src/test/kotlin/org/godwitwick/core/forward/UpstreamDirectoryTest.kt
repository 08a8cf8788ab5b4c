package org.godwitwick.core.forward

import org.godwitwick.core.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty

class UpstreamDirectoryTest {
    private val directory = UpstreamDirectory()
    private val a = upstream("a")
    private val b = upstream("b")

    private fun ids() = directory.usable.map { it.id.value }

    @Test
    fun `a leaving upstream and a removed one are unusable immediately`() {
        directory.onSnapshot(mapOf(a.id to a, b.id to b), nowMs = 0)
        directory.onRecord(a.id, upstream("a", isLeaving = true), nowMs = 10)
        directory.onRecord(b.id, null, nowMs = 10)
        expectThat(ids()).isEmpty()
    }

    @Test
    fun `an unreadable entry is ignored and does not affect the others`() {
        directory.onSnapshot(mapOf(a.id to a, InstanceId("b") to null), nowMs = 0)
        expectThat(ids()).containsExactly("a")
    }

    // Guards against an empty directory after an outage of the store during which all registrations expired.
    @Test
    fun `registrations that expired during an outage stay usable for the grace period`() {
        directory.onSnapshot(mapOf(a.id to a, b.id to b), nowMs = 0)
        directory.onStoreRecovered(nowMs = 10_000)
        directory.onSnapshot(emptyMap(), nowMs = 10_000)
        directory.onRecord(a.id, a, nowMs = 11_000)
        directory.expire(nowMs = 11_999)
        expectThat(ids()).containsExactlyInAnyOrder("a", "b")
        directory.expire(nowMs = 12_000)
        expectThat(ids()).containsExactly("a")
    }

    @Test
    fun `an upstream that reports leaving within the grace period is unusable immediately`() {
        directory.onSnapshot(mapOf(a.id to a), nowMs = 0)
        directory.onStoreRecovered(nowMs = 10_000)
        directory.onRecord(a.id, upstream("a", isLeaving = true), nowMs = 10_001)
        expectThat(ids()).isEmpty()
    }

    // Guards against new work for an upstream that has left, after the store has returned from a copy in which it is registered.
    @Test
    fun `registrations of an older copy do not bring back upstreams that are leaving or have left`() {
        val old = mapOf(a.id to upstream("a", sequence = 4), b.id to upstream("b", sequence = 4))
        directory.onSnapshot(old, nowMs = 0)
        directory.onRecord(a.id, upstream("a", isLeaving = true, sequence = 6), nowMs = 10)
        directory.onRecord(b.id, null, nowMs = 10)
        directory.onStoreRecovered(nowMs = 1_000)
        directory.onSnapshot(old, nowMs = 1_000)
        expectThat(ids()).isEmpty()
    }

    // Guards against upstreams that stay unused because their registration expired while the store was away.
    @Test
    fun `an upstream that registers again after its registration expired is usable`() {
        directory.onSnapshot(mapOf(a.id to upstream("a", sequence = 4)), nowMs = 0)
        directory.onRecord(a.id, null, nowMs = 10)
        directory.onStoreRecovered(nowMs = 1_000)
        directory.onRecord(a.id, upstream("a", sequence = 5), nowMs = 1_100)
        expectThat(ids()).containsExactly("a")
    }

    @Test
    fun `a new process under the id of one that has left is usable`() {
        directory.onSnapshot(mapOf(a.id to upstream("a", sequence = 9, startedAtMs = 1)), nowMs = 0)
        directory.onRecord(a.id, upstream("a", isLeaving = true, sequence = 10, startedAtMs = 1), nowMs = 10)
        directory.onRecord(a.id, upstream("a", sequence = 1, startedAtMs = 2), nowMs = 20)
        expectThat(ids()).containsExactly("a")
    }
}
