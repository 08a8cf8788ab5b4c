package org.godwitwick.core.placement

import org.godwitwick.core.model.PromptClass
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import kotlin.random.Random

class ExpectedFirstTokenTest {
    private val policy = ExpectedFirstToken()

    // Guards against herding: between two reports every instance would send all its work to the replica that was idle last.
    @Test
    fun `work sent since a stale report spreads requests over equal replicas`() {
        val table = FakeTable(MutableList(3) { ReplicaLoad(idleReport(atMs = 0)) })
        val random = Random(1)
        val counts = IntArray(3)
        repeat(30) {
            val choice = checkNotNull(policy.choose(shortRequest(), table, emptySet(), 500, random))
            counts[choice.replica.slot]++
            table.dispatch(choice.replica.slot, SentWork(500, PromptClass.SHORT, choice.prefillTokens, 2_100))
        }
        expectThat(counts.max() - counts.min()).isLessThanOrEqualTo(1)
    }

    // Guards against believing a report for ever: a queue that was long a second ago has been worked off since.
    @Test
    fun `a reported queue drains with the age of the report`() {
        val load = ReplicaLoad(idleReport(atMs = 0, queuedTokens = 30_000))
        expectThat(load.backlogAt(1_000, 20_000.0).sum()).isEqualTo(10_000.0)
        expectThat(load.backlogAt(5_000, 20_000.0).sum()).isEqualTo(0.0)
    }

    // Guards against counting an idle period before a dispatch as progress on it.
    @Test
    fun `work sent late is not drained by the idle time before it`() {
        val load = ReplicaLoad(idleReport(atMs = 0)).withSent(SentWork(900, PromptClass.SHORT, 10_000, 10_000))
        expectThat(load.backlogAt(1_000, 20_000.0).sum()).isEqualTo(8_000.0)
    }

    // Guards against sending to a dead engine whose estimate has drained: what this instance still waits for counts.
    @Test
    fun `a replica without reports that gives no first token is avoided`() {
        val silent = ReplicaLoad(idleReport(atMs = 0)).withDispatch(SentWork(0, PromptClass.SHORT, 4_000, 4_000))
        val table = FakeTable(mutableListOf(silent, ReplicaLoad(idleReport(atMs = 60_000))))
        val choices = (1..20).map { policy.choose(shortRequest(), table, emptySet(), 60_000, Random(it))?.replica?.slot }
        expectThat(choices.toSet()).isEqualTo(setOf(1))
    }

    // Guards against a decision that walks the fleet: at 12,000 replicas it would take the node's whole CPU budget.
    @Test
    fun `the rows read by a decision do not depend on the number of replicas`() {
        val touched = listOf(100, 1_000, 12_000).map { replicas ->
            val table = FakeTable(MutableList(replicas) { ReplicaLoad(idleReport(atMs = 0)) })
            val block = longArrayOf(7)
            repeat(replicas) { table.index.apply(it, listOf(CacheEvent(0, 7, isAdded = true))) }
            repeat(100) { policy.choose(shortRequest(block), table, emptySet(), 10, Random(it)) }
            table.touchedRows
        }
        expectThat(touched.max()).isLessThanOrEqualTo(100 * (policy.samples + policy.maxHolders))
        expectThat(touched.max() - touched.min()).isLessThan(100)
    }

    // Guards against missing the few usable replicas of a small data centre when most are excluded after failures.
    @Test
    fun `the only usable replica out of sixteen is found`() {
        val table = FakeTable(MutableList(16) { ReplicaLoad(idleReport(atMs = 0)) })
        repeat(50) { seed ->
            val choice = policy.choose(shortRequest(), table, (0..14).toSet(), 10, Random(seed))
            expectThat(choice?.replica?.slot).isEqualTo(15)
        }
    }

    // Guards against recomputing a long prefix that one of many replicas holds, and against queueing behind a busy holder.
    @Test
    fun `the holder of a prefix is chosen unless its queue costs more`() {
        val blocks = LongArray(20) { it.toLong() }
        val request = PlacementRequest(20 * BLOCK_TOKENS, 100, PromptClass.MEDIUM, blocks)
        val events = blocks.mapIndexed { i, block -> CacheEvent(i.toLong(), block, isAdded = true) }
        fun chosen(queuedTokens: Long): Int? {
            val table = FakeTable(MutableList(500) { ReplicaLoad(idleReport(0, if (it == 42) queuedTokens else 0)) })
            table.index.apply(42, events)
            return policy.choose(request, table, emptySet(), 0, Random(3))?.replica?.slot
        }
        expectThat(chosen(queuedTokens = 2_000)).isEqualTo(42)
        expectThat(chosen(queuedTokens = 60_000)).isNotEqualTo(42)
    }

    // Guards against deadlock and imbalance of groups: members are distinct and in the order in which holds are taken.
    @Test
    fun `a group has distinct members in the order of their ids`() {
        val table = FakeTable(MutableList(9) { ReplicaLoad(idleReport(atMs = 0)) })
        val request = PlacementRequest(1_000_000, 100, PromptClass.HUGE, LongArray(0))
        val ids = checkNotNull(policy.chooseGroup(request, 3, table, emptySet(), 0, Random(5))).map { it.id.value }
        expectThat(ids).isEqualTo(ids.distinct().sorted())
        expectThat(ids.size).isGreaterThan(2)
    }
}
