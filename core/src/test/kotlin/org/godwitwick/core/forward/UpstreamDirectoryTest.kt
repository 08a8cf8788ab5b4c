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
    fun `a leaving upstream and a removed one get no new work at once`() {
        directory.onSnapshot(mapOf(a.id to a, b.id to b), nowMs = 0)
        directory.onRecord(a.id, upstream("a", isLeaving = true), nowMs = 10)
        directory.onRecord(b.id, null, nowMs = 10)
        expectThat(ids()).isEmpty()
    }

    @Test
    fun `an entry that can not be read names no upstream and leaves the others`() {
        directory.onSnapshot(mapOf(a.id to a, InstanceId("b") to null), nowMs = 0)
        expectThat(ids()).containsExactly("a")
    }

    // Guards against a fleet that is empty after an outage of the store in which all registrations lapsed.
    @Test
    fun `registrations that lapsed during an outage stay usable for the grace period`() {
        directory.onSnapshot(mapOf(a.id to a, b.id to b), nowMs = 0)
        directory.onStoreRegained(nowMs = 10_000)
        directory.onSnapshot(emptyMap(), nowMs = 10_000)
        directory.onRecord(a.id, a, nowMs = 11_000)
        directory.expire(nowMs = 11_999)
        expectThat(ids()).containsExactlyInAnyOrder("a", "b")
        directory.expire(nowMs = 12_000)
        expectThat(ids()).containsExactly("a")
    }

    @Test
    fun `an upstream that reports leaving after an outage gets no new work at once`() {
        directory.onSnapshot(mapOf(a.id to a), nowMs = 0)
        directory.onStoreRegained(nowMs = 10_000)
        directory.onRecord(a.id, upstream("a", isLeaving = true), nowMs = 10_001)
        expectThat(ids()).isEmpty()
    }
}
