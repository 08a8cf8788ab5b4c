package org.godwitwick.core.placement

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo

class CacheIndexTest {
    private val blocks = LongArray(8) { 100L + it }

    private fun added(from: Int, to: Int) = (from until to).map { CacheEvent(it.toLong(), blocks[it], isAdded = true) }

    // Guards against predicting cache hits for blocks whose eviction was among the missed events.
    @Test
    fun `a gap in the event sequence drops the blocks added before it`() {
        val index = CacheIndex()
        index.apply(3, added(0, 4))
        expectThat(index.cachedBlocks(3, blocks)).isEqualTo(4)
        index.apply(3, listOf(CacheEvent(9, 77, isAdded = true)))
        expectThat(index.cachedBlocks(3, blocks)).isEqualTo(0)
        expectThat(index.cachedBlocks(3, longArrayOf(77))).isEqualTo(1)
    }

    // Guards against treating a repeated or late event as a gap or as a new event.
    @Test
    fun `repeated events are ignored`() {
        val index = CacheIndex()
        index.apply(0, added(0, 4))
        index.apply(0, listOf(CacheEvent(4, blocks[3], isAdded = false)))
        index.apply(0, added(0, 4))
        expectThat(index.cachedBlocks(0, blocks)).isEqualTo(3)
    }

    // Guards against memory use that grows with the number of events from a long-lived engine.
    @Test
    fun `the index of one replica is bounded`() {
        val index = CacheIndex(maxBlocksPerReplica = 16)
        index.apply(0, List(1_000) { CacheEvent(it.toLong(), it.toLong(), isAdded = true) })
        expectThat(index.size).isEqualTo(16)
    }

    // Guards against a hash that ignores the preceding blocks, which would predict cache hits from another prompt.
    @Test
    fun `equal blocks after different prefixes have different hashes`() {
        val first = PrefixHashes.of("a".repeat(BLOCK_CHARS) + "x".repeat(BLOCK_CHARS))
        val second = PrefixHashes.of("b".repeat(BLOCK_CHARS) + "x".repeat(BLOCK_CHARS) + "rest")
        expectThat(second.size).isEqualTo(2)
        expectThat(first[1]).isNotEqualTo(second[1])
    }
}
