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

    // Guards against herding: without counting sent work, all requests go to the last idle replica until the next report.
    @Test
    fun `requests spread over equal replicas between two reports`() {
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

    // Guards against using a reported queue without its age: the engine keeps working on it after the report.
    @Test
    fun `a reported queue drains with the age of the report`() {
        val load = ReplicaLoad(idleReport(atMs = 0, queuedTokens = 30_000))
        expectThat(load.backlogAt(1_000, 20_000.0).sum()).isEqualTo(10_000.0)
        expectThat(load.backlogAt(5_000, 20_000.0).sum()).isEqualTo(0.0)
    }

    // Guards against counting the idle time before a dispatch as progress on the dispatched work.
    @Test
    fun `sent work is drained only from its dispatch on`() {
        val load = ReplicaLoad(idleReport(atMs = 0)).withSent(SentWork(900, PromptClass.SHORT, 10_000, 10_000))
        expectThat(load.backlogAt(1_000, 20_000.0).sum()).isEqualTo(8_000.0)
    }

    // Guards against choosing a dead engine whose estimated queue has drained: requests still waiting for a first token count.
    @Test
    fun `a replica with a stale report and no first token is avoided`() {
        val silent = ReplicaLoad(idleReport(atMs = 0)).withDispatch(SentWork(0, PromptClass.SHORT, 4_000, 4_000))
        val table = FakeTable(mutableListOf(silent, ReplicaLoad(idleReport(atMs = 60_000))))
        val choices = (1..20).map { policy.choose(shortRequest(), table, emptySet(), 60_000, Random(it))?.replica?.slot }
        expectThat(choices.toSet()).isEqualTo(setOf(1))
    }

    // Guards against a decision that reads every replica: with 12,000 replicas it would use the whole CPU budget of the node.
    @Test
    fun `the number of rows read by a decision does not depend on the number of replicas`() {
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

    // Guards against not finding the usable replicas of a small data centre when most are excluded after failures.
    @Test
    fun `the only usable replica out of sixteen is found`() {
        val table = FakeTable(MutableList(16) { ReplicaLoad(idleReport(atMs = 0)) })
        repeat(50) { seed ->
            val choice = policy.choose(shortRequest(), table, (0..14).toSet(), 10, Random(seed))
            expectThat(choice?.replica?.slot).isEqualTo(15)
        }
    }

    // Guards against recomputing a long prefix that one of many replicas caches, and against queueing at a busy replica for it.
    @Test
    fun `the replica that caches a prefix is chosen unless its queue costs more than a prefill`() {
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

    // Guards against deadlock between groups and against assigning a replica twice: memory is reserved in the order of ids.
    @Test
    fun `a group has distinct members sorted by id`() {
        val table = FakeTable(MutableList(9) { ReplicaLoad(idleReport(atMs = 0)) })
        val request = PlacementRequest(1_000_000, 100, PromptClass.HUGE, LongArray(0))
        val ids = checkNotNull(policy.chooseGroup(request, 3, table, emptySet(), 0, Random(5))).map { it.id.value }
        expectThat(ids).isEqualTo(ids.distinct().sorted())
        expectThat(ids.size).isGreaterThan(2)
    }
}
