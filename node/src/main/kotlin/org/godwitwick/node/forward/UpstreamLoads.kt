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
 * @property waitMs reading that stands before it at the engines that take part, in milliseconds; zero where it isn't named.
 */
data class PlacedWork(
    val placement: Placement,
    val readMs: Double,
    val heldTokens: Long,
    val isShortStream: Boolean,
    val waitMs: Map<InstanceId, Double> = emptyMap(),
)

/**
 * What this instance has sent to each upstream and not seen end.
 *
 * Answers bursts of long prompts that many instances place on the same engines: an engine reads them one after the other, so a read
 * counts whole until those before it are done, whoever sent them. If each instance took its own reads to start at once, the work of a
 * fleet would seem to be done as many times too fast as there are instances.
 */
class UpstreamLoads {
    /** A read that is expected to begin at [startsMs]. */
    private class Read(val startsMs: Double, val readMs: Double) {
        fun leftAt(nowMs: Long): Double = (startsMs + readMs - nowMs).coerceIn(0.0, readMs)
    }

    private class Load(val bornMs: Long?) {
        val reads = ArrayList<Read>()
        var running = 0
        var shortStreams = 0
        var helping = 0
        var heldTokens = 0L
        var penaltyMs = 0.0
        var penaltyAtMs = 0L

        fun workAt(nowMs: Long) = UpstreamWork(reads.sumOf { it.leftAt(nowMs) }, running, shortStreams, helping, heldTokens)

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
        val first = member(work.placement.upstream, work, nowMs, work.heldTokens)
        first.load.running++
        if (work.isShortStream) first.load.shortStreams++
        val helpers = work.placement.helpers.map { member(it.upstream, work, nowMs, it.reservedTokens) }
        helpers.forEach { it.load.helping++ }
        return CountedWork(work, first, helpers)
    }

    private class Member(val load: Load, val read: Read, val heldTokens: Long)

    private fun member(entry: UpstreamEntry, work: PlacedWork, nowMs: Long, heldTokens: Long): Member {
        val load = loadOf(entry)
        val read = Read(nowMs + (work.waitMs[entry.id] ?: 0.0), work.readMs)
        load.reads += read
        load.heldTokens += heldTokens
        return Member(load, read, heldTokens)
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
        val load = loads.getOrPut(entry.id) { Load(entry.startedAtMs) }
        if (load.bornMs == entry.startedAtMs) return load
        // A new process under the same id has none of the old one's work.
        return Load(entry.startedAtMs).also { loads[entry.id] = it }
    }

    /** Ends work that was counted in. */
    interface WorkInProgress {
        /** The prompt has been read. */
        fun readingEnded()

        /** The request has ended. */
        fun end()
    }

    private inner class CountedWork(private val work: PlacedWork, private val first: Member, private val helpers: List<Member>) :
        WorkInProgress {
        private var isReading = true
        private var isEnded = false

        override fun readingEnded() = synchronized(this@UpstreamLoads) {
            if (!isReading) return@synchronized
            isReading = false
            first.load.reads -= first.read
            helpers.forEach {
                it.load.reads -= it.read
                it.load.helping--
            }
        }

        override fun end() = synchronized(this@UpstreamLoads) {
            if (isEnded) return@synchronized
            isEnded = true
            readingEnded()
            first.load.running--
            if (work.isShortStream) first.load.shortStreams--
            (helpers + first).forEach { it.load.heldTokens -= it.heldTokens }
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
