package org.godwitwick.core.placement

import kotlin.math.ceil
import kotlin.random.Random

/**
 * Policy that chooses the replica with the lowest expected time to first token among a few sampled replicas and the replicas that
 * cache the longest prefix of the prompt. The number of rows read does not depend on the number of replicas.
 *
 * @property samples number of replicas sampled in the instance's own data centre.
 * @property maxHolders largest number of replicas considered in addition because they cache the longest prefix.
 * @property lowerPriorityMs delay added for lower-priority work on an engine: the step in progress delays the first token, and
 *   steps with a long context delay every later token. With 40 instead of 150, first tokens came 8 ms sooner but more deadlines
 *   were missed.
 */
data class ExpectedFirstToken(val samples: Int = 3, val maxHolders: Int = 2, val lowerPriorityMs: Double = 150.0) :
    PlacementPolicy {
    override fun choose(
        request: PlacementRequest,
        table: ReplicaTable,
        excluded: Set<Int>,
        nowMs: Long,
        random: Random,
    ): Placement? {
        val candidates = LinkedHashMap<Int, ReplicaView>()
        fun consider(slot: Int) {
            if (slot !in candidates) usableReplica(request, table, excluded, slot)?.let { candidates[slot] = it }
        }
        sample(table.local, samples, random) {
            consider(it)
            candidates.size
        }
        pick(table.longestHolders(request.blocks), maxHolders, random, ::consider)
        val best = best(candidates.values, request, table, nowMs)
        if (best != null && (best.expectedMs ?: 0.0) <= REMOTE_ABOVE_MS) return best
        pick(table.remote, REMOTE_SAMPLES, random, ::consider)
        return best(candidates.values, request, table, nowMs)
    }

    /**
     * Chooses [count] distinct replicas for a request that needs the KV memory of several, sorted by id, which is the order in
     * which their KV memory is reserved. Returns null if fewer than [count] candidates were found.
     */
    fun chooseGroup(
        request: PlacementRequest,
        count: Int,
        table: ReplicaTable,
        excluded: Set<Int>,
        nowMs: Long,
        random: Random,
    ): List<ReplicaView>? {
        val candidates = LinkedHashMap<Int, ReplicaView>()
        sample(table.local, samples * count, random) { slot ->
            if (slot !in excluded && slot !in candidates) table.replica(slot)?.let { candidates[slot] = it }
            candidates.size
        }
        if (candidates.size < count) return null
        return candidates.values
            .sortedBy { waitMs(it, request, nowMs) + kvShortageMs(it, request.kvTokens / count) }
            .take(count)
            .sortedBy { it.id.value }
    }

    /**
     * Returns the expected time in ms to the first token of [request] on [replica] if it computes [prefillTokens] of the prompt.
     */
    fun expectedMs(replica: ReplicaView, request: PlacementRequest, prefillTokens: Long, nowMs: Long): Double =
        waitMs(replica, request, nowMs) + prefillTokens / replica.prefillTokensPerSecond * MS_PER_SECOND + replica.networkMs +
            kvShortageMs(replica, request.kvTokens)

    private fun best(
        candidates: Collection<ReplicaView>,
        request: PlacementRequest,
        table: ReplicaTable,
        nowMs: Long,
    ): Placement? = candidates
        .map { view ->
            val prefill = request.remainingWork(table.cachedBlocks(view.slot, request.blocks)).prefillTokens
            Placement(view, prefill, expectedMs(view, request, prefill, nowMs))
        }
        .minByOrNull { it.expectedMs ?: Double.MAX_VALUE }

    private fun waitMs(replica: ReplicaView, request: PlacementRequest, nowMs: Long): Double {
        val backlog = replica.load.backlogAt(nowMs, replica.prefillTokensPerSecond)
        val priority = request.promptClass.ordinal
        var ahead = 0.0
        var behind = 0.0
        for (i in backlog.indices) if (i <= priority) ahead += backlog[i] else behind += backlog[i]
        // The estimate also drains the queue of an engine that has stopped reporting. Requests of this instance that still wait
        // for their first token there are a lower bound of its real backlog.
        if (replica.load.isReportStale(nowMs)) ahead = maxOf(ahead, replica.load.waitingTokens.toDouble())
        val stepDelayMs = if (behind > 0.0) lowerPriorityMs else 0.0
        return ahead / replica.prefillTokensPerSecond * MS_PER_SECOND + stepDelayMs
    }

    private fun ReplicaLoad.isReportStale(nowMs: Long) = report == null || nowMs - report.atMs > STALE_REPORT_MS

    private fun kvShortageMs(replica: ReplicaView, neededTokens: Long): Double {
        val free = replica.load.freeKvTokens() ?: return 0.0
        return if (free >= neededTokens) 0.0 else KV_SHORTAGE_MS
    }

    // Probes distinct random replicas until enough usable ones are found. The limit on probes bounds the cost when many replicas
    // are excluded.
    private inline fun sample(slots: IntArray, wanted: Int, random: Random, consider: (Int) -> Int) {
        if (slots.isEmpty()) return
        val probes = minOf(slots.size, wanted + EXTRA_PROBES)
        val probed = HashSet<Int>()
        var index = random.nextInt(slots.size)
        repeat(probes) {
            while (!probed.add(index)) index = (index + 1) % slots.size
            if (consider(slots[index]) >= wanted) return
            index = random.nextInt(slots.size)
        }
    }

    private inline fun pick(slots: IntArray, wanted: Int, random: Random, consider: (Int) -> Unit) {
        if (slots.isEmpty()) return
        val start = random.nextInt(slots.size)
        for (i in 0 until minOf(wanted, slots.size)) consider(slots[(start + i) % slots.size])
    }

    companion object {
        /** Expected time to first token of the best local replica above which replicas in other data centres are considered. */
        const val REMOTE_ABOVE_MS = 400.0

        /** Number of replicas considered in other data centres. */
        const val REMOTE_SAMPLES = 2

        /** Number of additional probes that make up for unusable replicas. */
        const val EXTRA_PROBES = 13

        /** Age above which a load report is stale. Reports arrive every second and one may be lost. */
        const val STALE_REPORT_MS = 2_500L

        /**
         * Delay added for a replica without enough free KV memory: the request waits until another one ends, which takes seconds.
         */
        const val KV_SHORTAGE_MS = 5_000.0

        /** Smallest number of replicas in a group. */
        const val MIN_GROUP = 2

        /** Largest number of replicas in a group. */
        const val MAX_GROUP = 4

        /**
         * Fraction of an engine's KV memory that a group may use; the rest is left to shorter requests. Larger groups that use
         * half of the memory on each engine did not change the number of long reads that miss their deadline.
         */
        const val MEMBER_FRACTION = 0.9

        /**
         * Returns the group size for [request] on engines of [kvCapacityTokens] each, or null if even [MAX_GROUP] engines are too
         * few.
         */
        fun groupSize(request: PlacementRequest, kvCapacityTokens: Int): Int? {
            if (request.kvTokens > kvCapacityTokens.toLong() * MAX_GROUP) return null
            return ceil(request.kvTokens / (kvCapacityTokens * MEMBER_FRACTION)).toInt().coerceIn(MIN_GROUP, MAX_GROUP)
        }

        private const val MS_PER_SECOND = 1_000.0
    }
}
