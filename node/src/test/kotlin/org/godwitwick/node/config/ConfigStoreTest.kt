package org.godwitwick.node.config

import org.godwitwick.core.config.ConfigField
import org.godwitwick.core.config.Freshness
import org.godwitwick.core.config.RegionReports
import org.godwitwick.core.config.SNAPSHOT_INTERVAL_RECORDS
import org.godwitwick.node.peer.ConfigPull
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isTrue

class ConfigStoreTest {
    private fun store() = ConfigStore(graceMs = 4_000, startMs = 0)

    private fun ConfigStore.queueMax() = view.integer(ConfigField.QUEUE_MAX)

    private val a = record(0, queueMax("a", 100))
    private val b = record(1, queueMax("b", 200, expected = 0))

    // Guards against the answer of a stale peer, or a delayed answer, reverting an instance to an older configuration.
    @Test
    fun `a stale peer neither reverts nor confirms a newer configuration`() {
        val stale = store().apply { applyLogPage(pageOf(a), 0, askedAtMs = 100) }
        val fresh = store().apply { applyLogPage(pageOf(a, b), 0, askedAtMs = 200) }
        val behind = store()
        fresh.applyPeerAnswer(stale.answer(ConfigPull(0), 300), 0, askedAtMs = 250)
        expectThat(fresh.queueMax()).isEqualTo(200)
        behind.applyPeerAnswer(fresh.answer(ConfigPull(0), 300), 0, askedAtMs = 260)
        expectThat(behind.queueMax()).isEqualTo(200)
        expectThat(behind.status.confirmedAtMs).isEqualTo(160)
    }

    // Guards against an instance serving as current although newer records are known to exist.
    @Test
    fun `an observed log end beyond the applied offset does not confirm the configuration`() {
        val store = store()
        store.applyLogPage(pageOf(a, end = 2), 0, askedAtMs = 100)
        expectThat(store.freshness(100)).isEqualTo(Freshness.CutOff(refusesWork = true))
        store.applyLogPage(pageOf(b), 1, askedAtMs = 150)
        expectThat(store.freshness(160)).isEqualTo(Freshness.Current)
    }

    // Guards against a new instance depending on records that its peers no longer have.
    @Test
    fun `a peer that no longer has the requested records answers with a snapshot`() {
        val peer = store()
        val count = SNAPSHOT_INTERVAL_RECORDS + 200
        (0 until count).forEach { peer.applyLogPage(pageOf(record(it, queueMax("p$it", 1, expected = it - 1))), it, 10) }
        val answer = peer.answer(ConfigPull(0), 20)
        expectThat(answer.snapshot).isNotNull()
        val fresh = store().apply { applyPeerAnswer(answer, 0, 20) }
        expectThat(fresh.state).isEqualTo(peer.state)
        expectThat(peer.answer(ConfigPull(count - 5), 20).records).hasSize(5)
    }

    // Guards against accepting work after a pause on the basis of a confirmation from before the pause.
    @Test
    fun `a pause invalidates the confirmation until the configuration is confirmed again`() {
        val store = store()
        store.applyLogPage(pageOf(a), 0, askedAtMs = 0)
        expectThat(store.tick(1_000, emptyList())).isFalse()
        expectThat(store.freshness(2_900)).isEqualTo(Freshness.Current)
        expectThat(store.freshness(3_001)).isEqualTo(Freshness.CutOff(refusesWork = true))
        expectThat(store.tick(3_050, emptyList())).isTrue()
        expectThat(store.freshness(3_060)).isEqualTo(Freshness.CutOff(refusesWork = true))
        store.applyLogPage(pageOf(a), 0, askedAtMs = 3_070)
        expectThat(store.freshness(3_080)).isEqualTo(Freshness.Current)
    }

    // Guards against confusing a log outage with the network isolation of this instance.
    @Test
    fun `work continues in a log outage seen by a majority but not in isolation`() {
        val shared = store()
        val alone = store()
        (250L..5_000L step 250).forEach { nowMs ->
            shared.tick(nowMs, listOf(RegionReports("ee-north", 18, 10, 0)))
            alone.tick(nowMs, listOf(RegionReports("ee-north", 18, 9, 0)))
        }
        expectThat(shared.freshness(5_000)).isEqualTo(Freshness.LogDown)
        expectThat(alone.freshness(5_000)).isEqualTo(Freshness.CutOff(refusesWork = true))
    }
}
