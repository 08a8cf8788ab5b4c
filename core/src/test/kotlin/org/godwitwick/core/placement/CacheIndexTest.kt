package org.godwitwick.core.placement

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo

class CacheIndexTest {
    private val blocks = LongArray(8) { 100L + it }

    private fun added(from: Int, to: Int) = (from until to).map { CacheEvent(it.toLong(), blocks[it], isAdded = true) }

    // Guards against promising hits whose eviction was in the missing events.
    @Test
    fun `a gap in the events drops what was known before it`() {
        val index = CacheIndex()
        index.apply(3, added(0, 4))
        expectThat(index.cachedBlocks(3, blocks)).isEqualTo(4)
        index.apply(3, listOf(CacheEvent(9, 77, isAdded = true)))
        expectThat(index.cachedBlocks(3, blocks)).isEqualTo(0)
        expectThat(index.cachedBlocks(3, longArrayOf(77))).isEqualTo(1)
    }

    // Guards against taking a repeated or late event for a gap or for news.
    @Test
    fun `repeated events change nothing`() {
        val index = CacheIndex()
        index.apply(0, added(0, 4))
        index.apply(0, listOf(CacheEvent(4, blocks[3], isAdded = false)))
        index.apply(0, added(0, 4))
        expectThat(index.cachedBlocks(0, blocks)).isEqualTo(3)
    }

    // Guards against memory that grows with the events of a long-lived engine.
    @Test
    fun `the index of one replica is bounded`() {
        val index = CacheIndex(maxBlocksPerReplica = 16)
        index.apply(0, List(1_000) { CacheEvent(it.toLong(), it.toLong(), isAdded = true) })
        expectThat(index.size).isEqualTo(16)
    }

    // Guards against a hash that ignores what comes before a block, which would promise hits for another prompt's cache.
    @Test
    fun `equal blocks behind different beginnings have different hashes`() {
        val first = PrefixHashes.of("a".repeat(BLOCK_CHARS) + "x".repeat(BLOCK_CHARS))
        val second = PrefixHashes.of("b".repeat(BLOCK_CHARS) + "x".repeat(BLOCK_CHARS) + "rest")
        expectThat(second.size).isEqualTo(2)
        expectThat(first[1]).isNotEqualTo(second[1])
    }
}
