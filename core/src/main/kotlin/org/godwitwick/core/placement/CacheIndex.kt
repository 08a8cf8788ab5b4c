package org.godwitwick.core.placement

import kotlinx.serialization.Serializable

/**
 * A change in an engine's prefix cache.
 *
 * @property sequence number of the event, increasing by one within an engine incarnation.
 * @property block chained hash of the block, see [PrefixHashes].
 * @property isAdded true if the block was cached, false if it was evicted.
 */
@Serializable
data class CacheEvent(val sequence: Long, val block: Long, val isAdded: Boolean)

/**
 * Index of the prefix blocks cached by each replica, identified by its slot.
 *
 * Only one thread may modify the index. If [holders] is a concurrent map, other threads may read during modifications, because
 * its arrays are replaced and never changed in place.
 *
 * @param holders sorted slots of the replicas that cache a block, by block hash.
 * @param maxBlocksPerReplica largest number of blocks kept per replica; beyond it the oldest block is removed.
 */
class CacheIndex(
    private val holders: MutableMap<Long, IntArray> = HashMap(),
    private val maxBlocksPerReplica: Int = MAX_BLOCKS_PER_REPLICA,
) {
    private class ReplicaBlocks(var nextSequence: Long, val blocks: LinkedHashSet<Long> = LinkedHashSet())

    private val blocksBySlot = HashMap<Int, ReplicaBlocks>()

    /** Number of (block, replica) pairs in the index. */
    val size: Int get() = blocksBySlot.values.sumOf { it.blocks.size }

    /**
     * Applies [events] from the replica in [slot]; events that were already applied are ignored.
     *
     * A gap in the sequence drops all blocks of the replica first: a missed eviction would predict cache hits that do not exist,
     * while a missing block only costs one prefill.
     */
    fun apply(slot: Int, events: List<CacheEvent>) {
        for (event in events) {
            val replica = blocksBySlot.getOrPut(slot) { ReplicaBlocks(event.sequence) }
            if (event.sequence < replica.nextSequence) continue
            if (event.sequence > replica.nextSequence) dropBlocks(slot, replica)
            replica.nextSequence = event.sequence + 1
            if (event.isAdded) add(slot, replica, event.block) else remove(slot, replica, event.block)
        }
    }

    /** Removes the replica in [slot] from the index, for example after a restart. */
    fun forget(slot: Int) {
        blocksBySlot.remove(slot)?.let { dropBlocks(slot, it) }
    }

    /** Returns the number of leading [blocks] that the replica in [slot] caches according to its events. */
    fun cachedBlocks(slot: Int, blocks: LongArray): Int = countLeading(blocks) {
        holders[it]?.let { slots ->
            slots.binarySearch(slot) >=
                0
        } ==
            true
    }

    /**
     * Returns the slots of the replicas that cache the longest indexed prefix of [blocks], or an empty array if there are none.
     */
    fun longestHolders(blocks: LongArray): IntArray {
        val length = countLeading(blocks) { !holders[it].isNullOrEmpty() }
        return if (length == 0) NO_SLOTS else holders[blocks[length - 1]] ?: NO_SLOTS
    }

    // A replica that caches a block also caches the blocks before it, so a binary search finds the boundary: ten lookups for a
    // prompt of a million tokens.
    private inline fun countLeading(blocks: LongArray, isHeld: (Long) -> Boolean): Int {
        var low = 0
        var high = blocks.size
        while (low < high) {
            val middle = (low + high) ushr 1
            if (isHeld(blocks[middle])) low = middle + 1 else high = middle
        }
        return low
    }

    private fun add(slot: Int, replica: ReplicaBlocks, block: Long) {
        if (!replica.blocks.add(block)) return
        val present = holders[block] ?: NO_SLOTS
        holders[block] = (present + slot).apply { sort() }
        if (replica.blocks.size > maxBlocksPerReplica) remove(slot, replica, replica.blocks.first())
    }

    private fun remove(slot: Int, replica: ReplicaBlocks, block: Long) {
        if (replica.blocks.remove(block)) removeHolder(slot, block)
    }

    private fun dropBlocks(slot: Int, replica: ReplicaBlocks) {
        replica.blocks.forEach { removeHolder(slot, it) }
        replica.blocks.clear()
    }

    private fun removeHolder(slot: Int, block: Long) {
        val rest = holders[block]?.filter { it != slot }.orEmpty()
        if (rest.isEmpty()) holders.remove(block) else holders[block] = rest.toIntArray()
    }

    private fun IntArray?.isNullOrEmpty() = this == null || isEmpty()

    companion object {
        /** Four million tokens at about a thousand blocks per million, enough for the cache of the largest engine. */
        const val MAX_BLOCKS_PER_REPLICA = 4_096
        private val NO_SLOTS = IntArray(0)
    }
}
