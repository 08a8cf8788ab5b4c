package org.godwitwick.core.placement

import org.godwitwick.core.model.InstanceId

/**
 * Snapshot of one replica for a placement decision.
 *
 * @property slot index of the replica in its table.
 * @property networkMs network latency to the replica; higher for other data centres.
 */
class ReplicaView(val slot: Int, val id: InstanceId, val address: String, val networkMs: Double, val load: ReplicaLoad) {
    /** KV memory of the engine in tokens; [DEFAULT_KV_TOKENS] until its first report. */
    val kvCapacityTokens: Int get() = load.report?.kvCapacityTokens ?: DEFAULT_KV_TOKENS

    /** Prefill speed of the engine; [DEFAULT_PREFILL_TOKENS_PER_SECOND] until its first report. */
    val prefillTokensPerSecond: Double get() = load.report?.prefillTokensPerSecond ?: DEFAULT_PREFILL_TOKENS_PER_SECOND

    companion object {
        const val DEFAULT_KV_TOKENS = 400_000
        const val DEFAULT_PREFILL_TOKENS_PER_SECOND = 20_000.0
    }
}

/** The replicas of one model that a placement decision chooses from. */
interface ReplicaTable {
    /** Slots of the live replicas in the instance's own data centre, excluding replicas that are leaving. */
    val local: IntArray

    /** Slots of a few replicas in other data centres of the region. */
    val remote: IntArray

    /** Returns the replica in [slot], or null if it has left or must not receive work. */
    fun replica(slot: Int): ReplicaView?

    /** Returns the number of leading [blocks] that the replica in [slot] caches. */
    fun cachedBlocks(slot: Int, blocks: LongArray): Int

    /** Returns the slots of the replicas that cache the longest known prefix of [blocks]. */
    fun longestHolders(blocks: LongArray): IntArray
}
