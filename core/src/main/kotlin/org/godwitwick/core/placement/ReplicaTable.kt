package org.godwitwick.core.placement

import org.godwitwick.core.model.InstanceId

/**
 * One replica as a placement decision sees it.
 *
 * @property networkMs added latency of reaching the replica; more for another data centre.
 */
class ReplicaView(val slot: Int, val id: InstanceId, val address: String, val networkMs: Double, val load: ReplicaLoad) {
    /** KV memory of the engine; the default holds until its first report. */
    val kvCapacityTokens: Int get() = load.report?.kvCapacityTokens ?: DEFAULT_KV_TOKENS

    /** Prefill speed of the engine; the default holds until its first report. */
    val prefillTokensPerSecond: Double get() = load.report?.prefillTokensPerSecond ?: DEFAULT_PREFILL_TOKENS_PER_SECOND

    companion object {
        const val DEFAULT_KV_TOKENS = 400_000
        const val DEFAULT_PREFILL_TOKENS_PER_SECOND = 20_000.0
    }
}

/** The replicas of one model among which a decision chooses. */
interface ReplicaTable {
    /** Slots of the live replicas in the instance's own data centre; leaving ones are not among them. */
    val local: IntArray

    /** Slots of a few known replicas in other data centres of the region. */
    val remote: IntArray

    /** The replica in [slot], or null when it has left or may not receive work. */
    fun replica(slot: Int): ReplicaView?

    /** Leading blocks of [blocks] that the replica in [slot] holds. */
    fun cachedBlocks(slot: Int, blocks: LongArray): Int

    /** Slots that hold the longest known prefix of [blocks]. */
    fun longestHolders(blocks: LongArray): IntArray
}
