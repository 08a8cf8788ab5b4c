package org.godwitwick.node.forward

import org.godwitwick.core.forward.Placement
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.UpstreamWork
import org.godwitwick.core.model.InstanceId

/**
 * The work of one placed request.
 *
 * @property readMs reading time of each engine that takes part, in milliseconds.
 * @property heldTokens tokens that the first engine holds.
 */
data class PlacedWork(val placement: Placement, val readMs: Double, val heldTokens: Long, val isShortStream: Boolean)

/** What this instance has sent to each upstream and not seen end. */
class UpstreamLoads {
    private class Load(val bornMs: Long?) {
        // Reads run one after the other, so the time at which the last one ends tells what is pending.
        var readingUntilMs = 0L
        var running = 0
        var shortStreams = 0
        var helping = 0
        var heldTokens = 0L
        var penaltyMs = 0.0
        var penaltyAtMs = 0L

        fun addReading(readMs: Double, nowMs: Long) {
            readingUntilMs = maxOf(readingUntilMs, nowMs) + readMs.toLong()
        }

        fun workAt(nowMs: Long) =
            UpstreamWork((readingUntilMs - nowMs).coerceAtLeast(0).toDouble(), running, shortStreams, helping, heldTokens)

        fun penaltyAt(nowMs: Long): Double = penaltyMs * Math.pow(0.5, (nowMs - penaltyAtMs).toDouble() / PENALTY_HALF_LIFE_MS)
    }

    private val loads = HashMap<InstanceId, Load>()

    /** This instance's work at [entry]. */
    @Synchronized
    fun workAt(entry: UpstreamEntry, nowMs: Long): UpstreamWork = loadOf(entry).workAt(nowMs)

    /** Disadvantage of [entry] for recent failures, in milliseconds. */
    @Synchronized
    fun penaltyOf(entry: UpstreamEntry, nowMs: Long): Double = loadOf(entry).penaltyAt(nowMs)

    /** This instance's work at all upstreams that have any. */
    @Synchronized
    fun all(nowMs: Long): Map<InstanceId, UpstreamWork> = loads.mapValues { it.value.workAt(nowMs) }.filterValues {
        it !=
            UpstreamWork()
    }

    /** Counts [work] in. */
    @Synchronized
    fun begin(work: PlacedWork, nowMs: Long): WorkInProgress {
        val first = loadOf(work.placement.upstream)
        first.running++
        if (work.isShortStream) first.shortStreams++
        first.addReading(work.readMs, nowMs)
        first.heldTokens += work.heldTokens
        val helpers = work.placement.helpers.map { helper ->
            val load = loadOf(helper.upstream)
            load.helping++
            load.addReading(work.readMs, nowMs)
            load.heldTokens += helper.reservedTokens
            load to helper.reservedTokens
        }
        return CountedWork(work, first, helpers)
    }

    /** Notes a failure of [entry] at [nowMs]; the next placements prefer others. */
    @Synchronized
    fun penalise(entry: UpstreamEntry, nowMs: Long) {
        with(loadOf(entry)) {
            penaltyMs = minOf(penaltyAt(nowMs) + PENALTY_MS, MAX_PENALTY_MS)
            penaltyAtMs = nowMs
        }
    }

    /** Forgets upstreams that aren't in [known] and have no work. */
    @Synchronized
    fun retain(known: Set<InstanceId>) {
        loads.entries.removeAll { (id, load) -> id !in known && load.running == 0 && load.helping == 0 }
    }

    private fun loadOf(entry: UpstreamEntry): Load {
        val load = loads.getOrPut(entry.id) { Load(entry.bornMs) }
        if (load.bornMs == entry.bornMs) return load
        // A new process under the same id has none of the old one's work.
        return Load(entry.bornMs).also { loads[entry.id] = it }
    }

    /** Ends work that was counted in. */
    interface WorkInProgress {
        /** The prompt has been read. */
        fun readingEnded()

        /** The request has ended. */
        fun end()
    }

    private inner class CountedWork(
        private val work: PlacedWork,
        private val first: Load,
        private val helpers: List<Pair<Load, Long>>,
    ) : WorkInProgress {
        private var isReading = true
        private var isEnded = false

        override fun readingEnded() = synchronized(this@UpstreamLoads) {
            if (isReading) helpers.forEach { (load, _) -> load.helping-- }
            isReading = false
        }

        override fun end() = synchronized(this@UpstreamLoads) {
            if (isEnded) return@synchronized
            isEnded = true
            readingEnded()
            first.running--
            if (work.isShortStream) first.shortStreams--
            first.heldTokens -= work.heldTokens
            helpers.forEach { (load, tokens) -> load.heldTokens -= tokens }
        }
    }

    private companion object {
        /** Disadvantage of one failure: about the reading of a long prompt by one engine. */
        const val PENALTY_MS = 400.0
        const val MAX_PENALTY_MS = 3_000.0

        /** Replicas that crash are back after some seconds. */
        const val PENALTY_HALF_LIFE_MS = 1_500.0
    }
}
