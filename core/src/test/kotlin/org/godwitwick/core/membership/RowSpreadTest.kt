package org.godwitwick.core.membership

import org.godwitwick.core.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

class RowSpreadTest {
    private class Spread(val rounds: Int, val bytesPerInstanceAndRound: Int)

    // Guards against a merge rule or fan-out that fails to distribute a row to all instances in time when a tenth of the messages
    // is lost.
    @Test
    fun `a new row reaches all instances within few rounds with a tenth of the messages lost`() {
        listOf(6 to 5, 36 to 6, 130 to 7, 520 to 8).forEach { (count, maxRounds) ->
            val spreads = List(SEEDS) { spread(count, Random(it)) }
            val worst = spreads.maxOf { it.rounds }
            val bytes = spreads.maxOf { it.bytesPerInstanceAndRound }
            println(
                "spread: N=$count rounds max=$worst median=${spreads.map {
                    it.rounds
                }.sorted()[SEEDS / 2]} bytes/instance/round=$bytes",
            )
            expectThat(worst).isLessThanOrEqualTo(maxRounds)
        }
    }

    private fun spread(count: Int, random: Random): Spread {
        val tables = List(count) { RowTable() }
        val rows = List(count) { row("entry-$it", 1) }
        tables.forEach { table -> rows.forEach { table.merge(it, 0) } }
        val fresh = row("entry-0", 2)
        tables[0].merge(fresh, 0)
        var rounds = 0
        var bytes = 0L
        while (tables.any { table -> table.ofHashes(longArrayOf(fresh.key.hash)).single().version < 2 }) {
            rounds++
            // Rows received in a round are applied at its end, so that instances forward them only from the next round on.
            val received = ArrayList<() -> Unit>()
            tables.indices.forEach { from ->
                tables.indices.filter { it != from }.shuffled(random).take(FANOUT)
                    .forEach { to -> bytes += exchange(tables[from], tables[to], random, received) }
            }
            received.forEach { it() }
        }
        return Spread(rounds, (bytes / rounds / count).toInt())
    }

    private fun exchange(from: RowTable, to: RowTable, random: Random, received: MutableList<() -> Unit>): Int {
        val digest = from.digest(RowReach.DATA_CENTRE)
        val digestBytes = digest.keyHashes.size * DIGEST_ENTRY_BYTES
        if (random.nextInt(LOSS_ONE_IN) == 0) return digestBytes
        val answer = to.answer(digest, RowReach.DATA_CENTRE)
        val bytes = digestBytes + answer.rows.size * ROW_BYTES
        if (random.nextInt(LOSS_ONE_IN) == 0) return bytes
        received += { answer.rows.forEach { from.merge(it, 0) } }
        val wanted = from.ofHashes(answer.requestedHashes)
        if (random.nextInt(LOSS_ONE_IN) != 0) received += { wanted.forEach { to.merge(it, 0) } }
        return bytes + wanted.size * ROW_BYTES
    }

    private fun row(owner: String, version: Long) =
        VersionedRow(RowKey(RowTopic.MEMBER, InstanceId(owner), ""), version, 0, ByteArray(40))

    private companion object {
        const val FANOUT = 3
        const val SEEDS = 10
        const val LOSS_ONE_IN = 10
        const val DIGEST_ENTRY_BYTES = 18
        const val ROW_BYTES = 90
    }
}
