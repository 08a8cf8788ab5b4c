package org.godwitwick.core.placement

import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/**
 * The result of a placement decision.
 *
 * @property replica the chosen replica.
 * @property prefillTokens prompt tokens that the replica is expected to compute, excluding cache hits; recorded as work sent to
 *   it.
 * @property expectedMs expected time to first token in milliseconds, or null if the policy does not estimate it.
 */
class Placement(val replica: ReplicaView, val prefillTokens: Long, val expectedMs: Double? = null)

/** Strategy that chooses a replica for a request. */
sealed interface PlacementPolicy {
    /** Chooses a replica from [table] whose slot is not in [excluded], or returns null if none is usable. */
    fun choose(request: PlacementRequest, table: ReplicaTable, excluded: Set<Int>, nowMs: Long, random: Random): Placement?
}

/** Returns the placement of [request] on [replica], taking its cached blocks into account. */
internal fun placementOn(request: PlacementRequest, table: ReplicaTable, replica: ReplicaView): Placement =
    Placement(replica, request.remainingWork(table.cachedBlocks(replica.slot, request.blocks)).prefillTokens)

/** Baseline policy: round robin over the local replicas. */
class RoundRobin : PlacementPolicy {
    private val nextStart = AtomicInteger()

    override fun choose(
        request: PlacementRequest,
        table: ReplicaTable,
        excluded: Set<Int>,
        nowMs: Long,
        random: Random,
    ): Placement? = firstUsable(request, table, excluded, nextStart.getAndIncrement())
}

/**
 * Baseline policy: the local replica with the fewest outstanding requests of this instance. Unlike [ExpectedFirstToken] it
 * examines every local replica.
 */
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
            .mapNotNull { usableReplica(request, table, excluded, table.local[(start + it) % table.local.size]) }
            .minByOrNull { it.load.outstanding }
            ?.let { placementOn(request, table, it) }
    }
}

/** Baseline policy: hashes the first prefix block to a local replica. */
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
        usableReplica(request, table, excluded, table.local[Math.floorMod(start + it, count)])
    }?.let { placementOn(request, table, it) }
}

/** Returns the replica in [slot], or null if it is excluded, unavailable, or too small for the KV memory of [request]. */
internal fun usableReplica(request: PlacementRequest, table: ReplicaTable, excluded: Set<Int>, slot: Int): ReplicaView? {
    if (slot in excluded) return null
    return table.replica(slot)?.takeIf { it.kvCapacityTokens >= request.kvTokens }
}
