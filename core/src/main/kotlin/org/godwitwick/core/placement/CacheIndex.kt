package org.godwitwick.core.placement

import kotlinx.serialization.Serializable

/**
 * One change of an engine's prefix cache; [sequence] counts up by one per engine incarnation.
 *
 * @property isAdded false when the block was evicted.
 */
@Serializable
data class CacheEvent(val sequence: Long, val block: Long, val isAdded: Boolean)

/**
 * Which replicas (by slot) hold which prefix blocks. One owner changes it; a [holders] map that allows it may be read meanwhile,
 * because its values are never changed in place.
 */
class CacheIndex(
    private val holders: MutableMap<Long, IntArray> = HashMap(),
    private val maxBlocksPerReplica: Int = MAX_BLOCKS_PER_REPLICA,
) {
    private class Known(var nextSequence: Long, val blocks: LinkedHashSet<Long> = LinkedHashSet())

    private val known = HashMap<Int, Known>()

    /** Number of (block, replica) pairs held. */
    val size: Int get() = known.values.sumOf { it.blocks.size }

    /**
     * Applies [events] of the replica in [slot]. After a gap everything known of it is dropped first: a missed eviction would
     * promise hits that don't exist, while a forgotten block only costs one prefill.
     */
    fun apply(slot: Int, events: List<CacheEvent>) {
        for (event in events) {
            val replica = known.getOrPut(slot) { Known(event.sequence) }
            if (event.sequence < replica.nextSequence) continue
            if (event.sequence > replica.nextSequence) forgetBlocks(slot, replica)
            replica.nextSequence = event.sequence + 1
            if (event.isAdded) add(slot, replica, event.block) else remove(slot, replica, event.block)
        }
    }

    /** Drops everything known of the replica in [slot], for example because it restarted. */
    fun forget(slot: Int) {
        known.remove(slot)?.let { forgetBlocks(slot, it) }
    }

    /** Number of leading blocks of [blocks] that the replica in [slot] is believed to hold. */
    fun cachedBlocks(slot: Int, blocks: LongArray): Int = leading(blocks) {
        holders[it]?.let { slots ->
            slots.binarySearch(slot) >=
                0
        } ==
            true
    }

    /** Slots that hold the longest known prefix of [blocks]. */
    fun longestHolders(blocks: LongArray): IntArray {
        val length = leading(blocks) { !holders[it].isNullOrEmpty() }
        return if (length == 0) NO_SLOTS else holders[blocks[length - 1]] ?: NO_SLOTS
    }

    // A replica that holds a block also holds the blocks before it, so the boundary is found by halving: a prompt of a million
    // tokens costs ten look-ups.
    private inline fun leading(blocks: LongArray, isHeld: (Long) -> Boolean): Int {
        var low = 0
        var high = blocks.size
        while (low < high) {
            val middle = (low + high) ushr 1
            if (isHeld(blocks[middle])) low = middle + 1 else high = middle
        }
        return low
    }

    private fun add(slot: Int, replica: Known, block: Long) {
        if (!replica.blocks.add(block)) return
        val present = holders[block] ?: NO_SLOTS
        holders[block] = (present + slot).apply { sort() }
        if (replica.blocks.size > maxBlocksPerReplica) remove(slot, replica, replica.blocks.first())
    }

    private fun remove(slot: Int, replica: Known, block: Long) {
        if (replica.blocks.remove(block)) removeHolder(slot, block)
    }

    private fun forgetBlocks(slot: Int, replica: Known) {
        replica.blocks.forEach { removeHolder(slot, it) }
        replica.blocks.clear()
    }

    private fun removeHolder(slot: Int, block: Long) {
        val rest = holders[block]?.filter { it != slot }.orEmpty()
        if (rest.isEmpty()) holders.remove(block) else holders[block] = rest.toIntArray()
    }

    private fun IntArray?.isNullOrEmpty() = this == null || isEmpty()

    companion object {
        /** A million tokens are about a thousand blocks; four times that covers the largest engine's cache. */
        const val MAX_BLOCKS_PER_REPLICA = 4_096
        private val NO_SLOTS = IntArray(0)
    }
}
