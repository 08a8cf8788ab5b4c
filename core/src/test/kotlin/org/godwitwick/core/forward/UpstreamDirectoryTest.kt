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
}
