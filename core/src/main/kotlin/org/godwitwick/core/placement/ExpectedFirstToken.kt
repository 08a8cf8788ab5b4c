package org.godwitwick.core.placement

import kotlin.math.ceil
import kotlin.random.Random

/**
 * Chooses the lowest expected time to first token among a few sampled replicas and the holders of the longest prefix. The number of
 * rows it reads doesn't depend on the number of replicas.
 *
 * @property samples replicas sampled in the instance's own data centre.
 * @property maxHolders prefix holders considered besides.
 * @property lowerPriorityMs cost of lower-priority work on an engine: the step that it is computing delays the first token, and steps
 *   with a long context delay every later token. Measured with 40 and 150; 40 gave first tokens 8 ms sooner and missed more deadlines.
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
            if (slot !in candidates) usable(request, table, excluded, slot)?.let { candidates[slot] = it }
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
     * Chooses [count] distinct replicas for a request that needs the KV memory of several, in the order in which holds are taken;
     * null when there are not enough.
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
            .sortedBy { waitMs(it, request, nowMs) + shortageMs(it, request.kvTokens / count) }
            .take(count)
            .sortedBy { it.id.value }
    }

    /** Expected time to first token of [request] on [replica]. */
    fun expectedMs(replica: ReplicaView, request: PlacementRequest, prefillTokens: Long, nowMs: Long): Double =
        waitMs(replica, request, nowMs) + prefillTokens / replica.prefillTokensPerSecond * MS_PER_SECOND + replica.networkMs +
            shortageMs(replica, request.kvTokens)

    private fun best(
        candidates: Collection<ReplicaView>,
        request: PlacementRequest,
        table: ReplicaTable,
        nowMs: Long,
    ): Placement? = candidates
        .map { view ->
            val prefill = request.workWith(table.cachedBlocks(view.slot, request.blocks)).prefillTokens
            Placement(view, prefill, expectedMs(view, request, prefill, nowMs))
        }
        .minByOrNull { it.expectedMs ?: Double.MAX_VALUE }

    private fun waitMs(replica: ReplicaView, request: PlacementRequest, nowMs: Long): Double {
        val backlog = replica.load.backlogAt(nowMs, replica.prefillTokensPerSecond)
        val priority = request.promptClass.ordinal
        var ahead = 0.0
        var behind = 0.0
        for (i in backlog.indices) if (i <= priority) ahead += backlog[i] else behind += backlog[i]
        // An engine that is silent or dead seems to drain by the estimate; requests of this instance that still wait prove otherwise.
        if (replica.load.reportIsOld(nowMs)) ahead = maxOf(ahead, replica.load.waitingTokens.toDouble())
        val step = if (behind > 0.0) lowerPriorityMs else 0.0
        return ahead / replica.prefillTokensPerSecond * MS_PER_SECOND + step
    }

    private fun ReplicaLoad.reportIsOld(nowMs: Long) = report == null || nowMs - report.atMs > OLD_REPORT_MS

    private fun shortageMs(replica: ReplicaView, neededTokens: Long): Double {
        val free = replica.load.freeKvTokens() ?: return 0.0
        return if (free >= neededTokens) 0.0 else SHORTAGE_MS
    }

    // Probes from random starts until enough usable replicas are found. The bound keeps the cost fixed when many are excluded.
    private inline fun sample(slots: IntArray, wanted: Int, random: Random, consider: (Int) -> Int) {
        if (slots.isEmpty()) return
        val probes = minOf(slots.size, wanted + EXTRA_PROBES)
        val found = HashSet<Int>()
        var at = random.nextInt(slots.size)
        repeat(probes) {
            while (!found.add(at)) at = (at + 1) % slots.size
            if (consider(slots[at]) >= wanted) return
            at = random.nextInt(slots.size)
        }
    }

    private inline fun pick(slots: IntArray, wanted: Int, random: Random, consider: (Int) -> Unit) {
        if (slots.isEmpty()) return
        val start = random.nextInt(slots.size)
        for (i in 0 until minOf(wanted, slots.size)) consider(slots[(start + i) % slots.size])
    }

    companion object {
        /** Replicas of other data centres are considered only when the best local one is expected to take longer than this. */
        const val REMOTE_ABOVE_MS = 400.0
        const val REMOTE_SAMPLES = 2

        /** Unusable replicas that may be probed besides the wanted ones. */
        const val EXTRA_PROBES = 13

        /** Reports come every second and one may be lost. */
        const val OLD_REPORT_MS = 2_500L

        /** A replica without the memory makes the request wait for another one's end, which takes seconds. */
        const val SHORTAGE_MS = 5_000.0
        const val MIN_GROUP = 2
        const val MAX_GROUP = 4

        /**
         * Part of an engine's KV memory that one member may need; the rest is left to shorter requests. Larger groups with half of
         * the memory each made no difference to the reads that miss their deadline in the experiment.
         */
        const val MEMBER_FRACTION = 0.9

        /** Members of a group for [request] on engines of [kvCapacityTokens] each, or null when the largest group is too small. */
        fun groupSize(request: PlacementRequest, kvCapacityTokens: Int): Int? {
            if (request.kvTokens > kvCapacityTokens.toLong() * MAX_GROUP) return null
            return ceil(request.kvTokens / (kvCapacityTokens * MEMBER_FRACTION)).toInt().coerceIn(MIN_GROUP, MAX_GROUP)
        }

        private const val MS_PER_SECOND = 1_000.0
    }
}
