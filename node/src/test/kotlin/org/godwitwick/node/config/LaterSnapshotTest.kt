package org.godwitwick.node.config

import org.godwitwick.core.config.ConfigField
import org.godwitwick.core.config.Freshness
import org.godwitwick.core.config.SNAPSHOT_INTERVAL_RECORDS
import org.godwitwick.node.peer.ConfigPullAnswer
import org.godwitwick.node.platform.LogRecord
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Snapshots of the configuration that a later version has written. */
class LaterSnapshotTest {
    private val later = """{"type":"snapshot","snapshot":{"offset":7,"entries":[],"history":[],"format":2}}""".toByteArray()
    private val store = ConfigStore(graceMs = 4_000, startMs = 0)

    // Guards against records that are taken as read because a snapshot that cannot be read was to stand for them.
    @Test
    fun `a peer's snapshot of a later format stands for no records`() {
        val records = arrayOf(record(5, queueMax("e", 100)), record(6, queueMax("f", 200, expected = 5)))
        store.applyLogPage(pageOf(*records, earliest = 5), 0, askedAtMs = 100)
        expectThat(store.nextLogOffset).isEqualTo(7)
        store.applyPeerAnswer(ConfigPullAnswer(9, emptyList(), later, 9, 0), 0, askedAtMs = 110)
        expectThat(store.nextLogOffset).isEqualTo(7)
    }

    // Guards against an instance that serves without the configuration that it cannot read.
    @Test
    fun `an instance that starts from a snapshot of a later format refuses work`() {
        val records = arrayOf(LogRecord(8, 8, later), record(9, queueMax("e", 100)))
        store.applyLogPage(pageOf(*records, earliest = 8), 0, askedAtMs = 100)
        expectThat(store.freshness(110)).isEqualTo(Freshness.CutOff(refusesWork = true))
    }

    // Guards against a version that puts its own snapshot over one that it cannot read.
    @Test
    fun `no snapshot is written after one of a later format`() {
        val count = SNAPSHOT_INTERVAL_RECORDS
        (0 until count).forEach { store.applyLogPage(pageOf(record(it, queueMax("p$it", 1, expected = it - 1))), it, 10) }
        expectThat(store.mustWriteSnapshot(wallMs = 20, logRetentionMs = 1_000_000)).isTrue()
        store.applyLogPage(pageOf(LogRecord(count, count, later)), count, 10)
        expectThat(store.mustWriteSnapshot(wallMs = 20, logRetentionMs = 1_000_000)).isFalse()
        expectThat(store.view.integer(ConfigField.QUEUE_MAX)).isEqualTo(1)
        expectThat(store.freshness(20)).isEqualTo(Freshness.Current)
    }

    // Guards against a configuration that is lost after a rollback, because no version writes snapshots any more.
    @Test
    fun `snapshots are written again once the log has dropped the one of a later format`() {
        val count = SNAPSHOT_INTERVAL_RECORDS
        (0 until count).forEach { store.applyLogPage(pageOf(record(it, queueMax("p$it", 1, expected = it - 1))), it, 10) }
        store.applyLogPage(pageOf(LogRecord(count, count, later)), count, 10)
        store.applyLogPage(pageOf(earliest = count, end = count + 1), count + 1, 20)
        expectThat(store.mustWriteSnapshot(wallMs = 30, logRetentionMs = 1_000_000)).isFalse()
        store.applyLogPage(pageOf(earliest = count + 1, end = count + 1), count + 1, 30)
        expectThat(store.mustWriteSnapshot(wallMs = 40, logRetentionMs = 1_000_000)).isTrue()
    }
}
