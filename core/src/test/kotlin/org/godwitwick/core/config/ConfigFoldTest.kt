package org.godwitwick.core.config

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.random.Random

class ConfigFoldTest {
    private fun ConfigFold.queueMax() = PublishedConfig(state).integer(ConfigField.QUEUE_MAX)

    // Guards against the later of two conflicting publications overwriting the first.
    @Test
    fun `of two publications on one version the first in the log wins and the other learns whose change it met`() {
        val first = published(0, publication("a", change(QUEUE, 100), author = "maarja"))
        val second = published(1, publication("b", change(QUEUE, 200), change(SHARE, 0.2), author = "jaan"))
        val fold = foldOf(listOf(first, second))
        expectThat(fold.queueMax()).isEqualTo(100)
        expectThat(PublishedConfig(fold.state).fraction(ConfigField.LONG_SHARE)).isEqualTo(0.4)
        val outcome = fold.state.outcomeOf("b")?.outcome
        expectThat(outcome).isA<PublicationOutcome.Conflict>().get { conflicts.single() }
            .isEqualTo(EntryConflict(QUEUE, ConfigScope.FLEET, NO_VERSION, 0, "maarja", "a"))
    }

    // Guards against treating an append that is retried after a lost response as a second change or a conflict.
    @Test
    fun `a duplicate id is ignored`() {
        val a = publication("a", change(QUEUE, 100))
        val fold =
            foldOf(listOf(published(0, a), published(1, publication("b", change(QUEUE, 7, expected = 0))), published(2, a)))
        expectThat(fold.queueMax()).isEqualTo(7)
        expectThat(fold.state.outcomeOf("a")?.outcome).isEqualTo(PublicationOutcome.Accepted)
        expectThat(fold.state.history).hasSize(2)
    }

    // Guards against an invalid record, appended by another version of the software, taking effect or stopping the fold.
    @Test
    fun `an invalid or unknown record changes no entry and later records still apply`() {
        val foreign = ConfigLogRecord(1, 0, "{\"type\":\"other\"}".encodeToByteArray())
        val invalid = published(0, publication("a", change(QUEUE, -5)))
        val fold = foldOf(listOf(invalid, foreign, published(2, publication("c", change(QUEUE, 9)))))
        expectThat(fold.state.outcomeOf("a")?.outcome).isA<PublicationOutcome.Invalid>()
        expectThat(fold.queueMax()).isEqualTo(9)
    }

    // Guards against a removed entry losing its version, which would allow a publication that is based on a state before the
    // removal.
    @Test
    fun `a removed entry keeps its version`() {
        val records = listOf(
            published(0, publication("a", change(QUEUE, 100))),
            published(1, publication("b", change(QUEUE, null, expected = 0))),
            published(2, publication("c", change(QUEUE, 5))),
        )
        val fold = foldOf(records)
        expectThat(fold.queueMax()).isEqualTo(512)
        expectThat(fold.state.outcomeOf("c")?.outcome).isA<PublicationOutcome.Conflict>()
    }

    // Guards against configurations that differ between instances because they read the log in different or overlapping pages.
    @Test
    fun `the resulting state is independent of how the log is split into overlapping pages`() {
        val records = randomLog(Random(7), 300)
        val fullState = foldOf(records).state
        repeat(50) { seed ->
            val random = Random(seed)
            var fold = ConfigFold()
            while (fold.nextOffset < records.size) {
                val from = (fold.nextOffset.toInt() - random.nextInt(4)).coerceAtLeast(0)
                val to = minOf(records.size, fold.nextOffset.toInt() + 1 + random.nextInt(40))
                fold = fold.apply(page(records.subList(from, to)))
            }
            expectThat(fold.state).isEqualTo(fullState)
        }
    }

    // Guards against losing configuration after the log dropped its first records.
    @Test
    fun `a reader of a log without its first records starts from the snapshot and ends in the same state`() {
        val records = randomLog(Random(3), 40)
        val all =
            records + snapshotRecord(40, foldOf(records).state) +
                published(41, publication("z", change(QUEUE, 3, versionIn(records))))
        val fullState = foldOf(all).state
        val late = ConfigFold().apply(page(all.drop(40)))
        expectThat(late.hasGap).isFalse()
        expectThat(late.state).isEqualTo(fullState)
    }

    // Guards against losing records appended after the state of a snapshot was taken and before the snapshot itself was appended.
    @Test
    fun `a snapshot that raced newer records doesn't hide them`() {
        val records = randomLog(Random(5), 30)
        val stale = foldOf(records.take(20)).state
        val all = records + snapshotRecord(30, stale)
        val fullState = foldOf(all).state
        var late = ConfigFold()
        all.drop(20).forEach {
            expectThat(late.state.appliedOffset).isEqualTo(-1)
            late = late.apply(page(listOf(it)))
        }
        expectThat(late.state).isEqualTo(fullState)
    }

    // Guards against a gap that counts as closed although the snapshot does not reach the first retained record.
    @Test
    fun `a snapshot from before the end of a gap does not close the gap`() {
        val records = randomLog(Random(6), 30)
        val tooOld = snapshotRecord(30, foldOf(records.take(15)).state)
        val fold = ConfigFold().apply(page(records.drop(20) + tooOld))
        expectThat(fold.hasGap).isTrue()
        expectThat(fold.state).isEqualTo(ConfigState())
    }

    // Guards against a snapshot or an outdated peer reverting an instance to an older configuration.
    @Test
    fun `neither an older snapshot nor older records revert the state`() {
        val records = randomLog(Random(9), 30)
        val older = foldOf(records.take(10)).state
        val fold = foldOf(records)
        expectThat(fold.adopt(older.toSnapshot()).state).isEqualTo(fold.state)
        expectThat(fold.apply(page(records.take(10))).state).isEqualTo(fold.state)
        val withSnapshot = fold.apply(page(listOf(snapshotRecord(30, older)))).state
        expectThat(withSnapshot.entries).isEqualTo(fold.state.entries)
    }

    // Guards against the only snapshot expiring while no records are appended, and against a snapshot for each record.
    @Test
    fun `a snapshot is due after 500 records or a quarter of the retention`() {
        val state = foldOf(
            listOf(published(0, publication("a", change(QUEUE, 1)))),
        ).state.copy(snapshotOffset = 1, appliedOffset = 1)
        expectThat(isSnapshotDue(state, 25_000, 100_000)).isFalse()
        expectThat(isSnapshotDue(state, 25_001, 100_000)).isTrue()
        expectThat(isSnapshotDue(state.copy(appliedOffset = 501), 0, 100_000)).isTrue()
        expectThat(isSnapshotDue(ConfigState(), 1_000_000, 100_000)).isFalse()
    }

    private fun versionIn(records: List<ConfigLogRecord>) =
        foldOf(records).state.entries[EntryKey(QUEUE, ConfigScope.FLEET)]?.version ?: NO_VERSION

    private fun randomLog(random: Random, count: Int): List<ConfigLogRecord> {
        var fold = ConfigFold()
        return List(count) { i ->
            val scope = listOf("fleet", "class:long", "model:menu").random(random)
            val version = fold.state.entries[EntryKey(QUEUE, ConfigScope(scope))]?.version ?: NO_VERSION
            val expected = if (random.nextInt(4) == 0) version - 1 else version
            val id = if (random.nextInt(10) == 0) "p${random.nextInt(i + 1)}" else "p$i"
            val value = if (random.nextInt(8) == 0) null else random.nextInt(1, 900)
            val record = published(i.toLong(), publication(id, change(QUEUE, value, maxOf(expected, NO_VERSION), scope)))
            fold = fold.apply(page(listOf(record)))
            record
        }
    }
}
