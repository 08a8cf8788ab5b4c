package org.godwitwick.node.control

import org.godwitwick.core.placement.CacheIndex
import org.godwitwick.core.placement.ReplicaTable
import org.godwitwick.core.placement.ReplicaView

/** Replicas of one model. The set of replicas is immutable; their loads and the cache index are updated in place. */
class ModelTable(
    override val local: IntArray,
    override val remote: IntArray,
    private val trackedReplicas: Map<Int, TrackedReplica>,
    private val index: CacheIndex,
) : ReplicaTable {
    override fun replica(slot: Int): ReplicaView? = trackedReplicas[slot]?.takeIf { it.isOpen }?.view()

    override fun cachedBlocks(slot: Int, blocks: LongArray): Int = index.cachedBlocks(slot, blocks)

    override fun longestHolders(blocks: LongArray): IntArray = index.longestHolders(blocks)
}
