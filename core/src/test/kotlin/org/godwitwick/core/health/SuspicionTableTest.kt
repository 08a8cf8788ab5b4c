package org.godwitwick.core.health

import org.godwitwick.core.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotEmpty
import strikt.assertions.isTrue

/** Guards against a request that crashes one engine after another, and against refusing harmless requests (section 5.7). */
class SuspicionTableTest {
    private val a = SuspicionTable(InstanceId("a"))
    private val b = SuspicionTable(InstanceId("b"))
    private val poison = Fingerprint("poison")
    private val harmless = Fingerprint("innocent")

    @Test
    fun `a request that shared one dead engine is a suspect and is quarantined after the second`() {
        a.onDeath(death("e1", 0), setOf(poison, harmless), isAlone = false, nowMs = 0)
        expectThat(a.verdict(poison, 0)).isEqualTo(SuspicionVerdict.SUSPECT)
        a.onDeath(death("e2", 60_000), setOf(poison), isAlone = false, nowMs = 60_000)
        expectThat(a.verdict(poison, 60_000)).isEqualTo(SuspicionVerdict.QUARANTINED)
        expectThat(a.verdict(harmless, 60_000)).isEqualTo(SuspicionVerdict.SUSPECT)
    }

    @Test
    fun `one death seen by several requests or instances counts once`() {
        val rows = a.onDeath(death("e1", 0), setOf(poison), isAlone = false, nowMs = 0)
        b.onDeath(death("e1", 40), setOf(poison), isAlone = false, nowMs = 40)
        rows.forEach(b::merge)
        expectThat(b.verdict(poison, 50)).isEqualTo(SuspicionVerdict.SUSPECT)
    }

    @Test
    fun `the only request on a dead engine is quarantined after a second unless a peer ran another one there`() {
        a.onDeath(death("e1", 0), setOf(poison), isAlone = true, nowMs = 0)
        expectThat(a.verdict(poison, 0)).isEqualTo(SuspicionVerdict.PENDING)
        expectThat(a.verdict(poison, SuspicionTable.PEER_REPORT_WAIT_MS)).isEqualTo(SuspicionVerdict.QUARANTINED)
        b.onDeath(death("e1", 0), setOf(harmless), isAlone = true, nowMs = 0).forEach(a::merge)
        expectThat(a.verdict(poison, 0)).isEqualTo(SuspicionVerdict.SUSPECT)
    }

    @Test
    fun `two deaths seen by different instances quarantine the request on both`() {
        a.onDeath(death("e1", 0), setOf(poison), isAlone = false, nowMs = 0).forEach(b::merge)
        b.onDeath(death("e2", 20_000), setOf(poison), isAlone = false, nowMs = 20_000).forEach(a::merge)
        expectThat(a.verdict(poison, 20_000)).isEqualTo(SuspicionVerdict.QUARANTINED)
        expectThat(b.verdict(poison, 20_000)).isEqualTo(SuspicionVerdict.QUARANTINED)
    }

    @Test
    fun `a success clears the suspicion on all instances and an older row does not restore it`() {
        val old = a.onDeath(death("e1", 0), setOf(harmless), isAlone = false, nowMs = 0)
        old.forEach(b::merge)
        b.merge(a.onSuccess(harmless, 100)!!)
        old.forEach(b::merge)
        expectThat(b.verdict(harmless, 200)).isEqualTo(SuspicionVerdict.CLEAR)
    }

    @Test
    fun `the loss of a rack makes no request a suspect and withdraws rows pushed before it was recognised`() {
        a.onDeath(death("e1", 0, "r1"), setOf(harmless), isAlone = true, nowMs = 0).forEach(b::merge)
        a.onDeath(death("e2", 4_000, "r1"), setOf(harmless), isAlone = false, nowMs = 4_000).forEach(b::merge)
        expectThat(b.verdict(harmless, 4_000)).isEqualTo(SuspicionVerdict.QUARANTINED)
        val second = a.onOtherDeath(death("e3", 9_000, "r1"))
        expectThat(second).isNotEmpty()
        expectThat(second.single().deaths).isEmpty()
        second.forEach(b::merge)
        expectThat(listOf(a, b).map { it.verdict(harmless, 9_000) }.toSet()).isEqualTo(setOf(SuspicionVerdict.CLEAR))
    }

    @Test
    fun `three deaths over more than ten seconds are not a correlated loss`() {
        a.onDeath(death("e1", 0, "r1"), setOf(poison), isAlone = false, nowMs = 0)
        a.onDeath(death("e2", 6_000, "r1"), setOf(poison), isAlone = false, nowMs = 6_000)
        a.onOtherDeath(death("e3", 10_001, "r1"))
        expectThat(a.verdict(poison, 10_001)).isEqualTo(SuspicionVerdict.QUARANTINED)
    }

    @Test
    fun `a suspicion expires after ten minutes`() {
        a.onDeath(death("e1", 0), setOf(poison), isAlone = true, nowMs = 0)
        expectThat(a.verdict(poison, SuspicionTable.SUSPICION_MS)).isEqualTo(SuspicionVerdict.QUARANTINED)
        expectThat(a.verdict(poison, SuspicionTable.SUSPICION_MS + 1)).isEqualTo(SuspicionVerdict.CLEAR)
    }

    @Test
    fun `of two suspects placed concurrently on one engine exactly one stays`() {
        val rowOfA = a.place(poison, InstanceId("e3"))
        val rowOfB = b.place(harmless, InstanceId("e3"))
        a.merge(rowOfB)
        b.merge(rowOfA)
        expectThat(a.mustYield(poison, InstanceId("e3"))).isTrue()
        expectThat(b.mustYield(harmless, InstanceId("e3"))).isFalse()
    }

    private fun death(engine: String, atMs: Long, rack: String = "rack of $engine") =
        EngineDeath(InstanceId(engine), "1", "dc", rack, atMs)
}
