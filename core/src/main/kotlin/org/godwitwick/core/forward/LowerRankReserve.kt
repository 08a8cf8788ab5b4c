package org.godwitwick.core.forward

import java.util.concurrent.atomic.AtomicLong
import kotlin.math.ceil

/**
 * The number of engines that are left to the requests which a level outranks.
 *
 * Load pattern: a burst of short streams of a high rank that would occupy every engine, so that lower ranks and the largest prompts, which
 * use only engines without such streams, would never begin. There are as many as the known streams of lower levels occupy, up to
 * [RankedPlacementSettings.maxStreamReserveShare] of the engines, but as many as hold the largest prompt seen, up to
 * [RankedPlacementSettings.maxReserveShare]. There are none while no lower rank has been seen for [DEMAND_MS].
 */
class LowerRankReserve(private val settings: RankedPlacementSettings) {
    private val largestTokens = AtomicLong()

    // Latest demand of a level other than the most urgent one.
    @Volatile
    private var lowerSeenAtMs = Long.MIN_VALUE

    /** Takes note of a request that is to be placed at [nowMs]. */
    fun onDemand(demand: RankedDemand, nowMs: Long) {
        if (demand.rank.level > 0) lowerSeenAtMs = nowMs
        largestTokens.accumulateAndGet(demand.size.kvTokens, ::maxOf)
    }

    /** The number of engines among [candidates] that requests of [rank] leave to those of lower ranks. */
    fun engines(rank: StatedRank, profile: EngineProfile, candidates: List<UpstreamView>, nowMs: Long): Int {
        if (rank.level < 0 || rank.level >= rank.ranks.levels - 1) return 0
        val lowerStreams = candidates.sumOf { it.work.levels.total - it.work.levels.before(rank.level + 1) }
        if (lowerStreams == 0 && (lowerSeenAtMs == Long.MIN_VALUE || nowMs - lowerSeenAtMs > DEMAND_MS)) return 0
        val forMemory = ceil(largestTokens.get() / (profile.kvCapacityTokens * settings.partMemoryShare)).toInt()
        val forStreams = minOf(lowerStreams, (candidates.size * settings.maxStreamReserveShare).toInt())
        return maxOf(forMemory, forStreams).coerceAtMost((candidates.size * settings.maxReserveShare).toInt())
    }

    private companion object {
        /** Several times the pauses between requests of the rarest kind at one instance. */
        const val DEMAND_MS = 60_000L
    }
}
