package org.godwitwick.core.placement

import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/**
 * The chosen replica.
 *
 * @property prefillTokens expected prefill there, for the account of work sent.
 * @property expectedMs expected time to first token, or null when the policy doesn't estimate it.
 */
class Placement(val replica: ReplicaView, val prefillTokens: Long, val expectedMs: Double? = null)

/** A rule that chooses a replica for a request. */
sealed interface PlacementPolicy {
    /** Chooses among [table] without the slots in [excluded]; null when none is usable. */
    fun choose(request: PlacementRequest, table: ReplicaTable, excluded: Set<Int>, nowMs: Long, random: Random): Placement?
}

/** The placement of [request] on [replica], with the cache hits that are known. */
internal fun placed(request: PlacementRequest, table: ReplicaTable, replica: ReplicaView): Placement =
    Placement(replica, request.workWith(table.cachedBlocks(replica.slot, request.blocks)).prefillTokens)

/** Baseline: each replica in turn. */
class RoundRobin : PlacementPolicy {
    private val turn = AtomicInteger()

    override fun choose(
        request: PlacementRequest,
        table: ReplicaTable,
        excluded: Set<Int>,
        nowMs: Long,
        random: Random,
    ): Placement? = firstUsable(request, table, excluded, turn.getAndIncrement())
}

/** Baseline: the replica with the fewest outstanding requests of this instance. Unlike the policy in use it reads every row. */
data object LeastOutstanding : PlacementPolicy {
    override fun choose(
        request: PlacementRequest,
        table: ReplicaTable,
        excluded: Set<Int>,
        nowMs: Long,
        random: Random,
    ): Placement? {
        val start = if (table.local.isEmpty()) 0 else random.nextInt(table.local.size)
        return table.local.indices.asSequence()
            .mapNotNull { usable(request, table, excluded, table.local[(start + it) % table.local.size]) }
            .minByOrNull { it.load.outstanding }
            ?.let { placed(request, table, it) }
    }
}

/** Baseline: the hash of the first prefix block alone decides. */
data object PrefixHash : PlacementPolicy {
    override fun choose(
        request: PlacementRequest,
        table: ReplicaTable,
        excluded: Set<Int>,
        nowMs: Long,
        random: Random,
    ): Placement? = firstUsable(request, table, excluded, request.blocks.firstOrNull()?.hashCode() ?: random.nextInt())
}

private fun firstUsable(request: PlacementRequest, table: ReplicaTable, excluded: Set<Int>, start: Int): Placement? {
    val count = table.local.size
    return (0 until count).firstNotNullOfOrNull {
        usable(request, table, excluded, table.local[Math.floorMod(start + it, count)])
    }?.let { placed(request, table, it) }
}

/** The replica in [slot] if it may run [request] at all. */
internal fun usable(request: PlacementRequest, table: ReplicaTable, excluded: Set<Int>, slot: Int): ReplicaView? {
    if (slot in excluded) return null
    return table.replica(slot)?.takeIf { it.kvCapacityTokens >= request.kvTokens }
}
