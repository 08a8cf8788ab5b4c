package org.godwitwick.node.forward

import org.godwitwick.core.forward.Placement
import org.godwitwick.core.forward.ServiceRanks
import org.godwitwick.core.forward.StreamLevels
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.UpstreamList
import org.godwitwick.core.forward.UpstreamWork
import org.godwitwick.core.model.InstanceId

/**
 * Work of a placed request.
 *
 * @property prefillMs time of the prefill at each participating engine, in milliseconds.
 * @property heldTokens KV cache that the request occupies at the first engine, in tokens.
 * @property queuedPrefillMs prefill queued before it at the participating engines, in milliseconds; zero for an engine that is
 *   not listed.
 * @property isLongPrompt whether the prefill is so long that other instances must know of it before they place theirs.
 * @property level level of the stream among the stated ranks, or null if none are stated.
 */
data class PlacedWork(
    val placement: Placement,
    val prefillMs: Double,
    val heldTokens: Long,
    val isShortStream: Boolean,
    val queuedPrefillMs: Map<InstanceId, Double> = emptyMap(),
    val level: Int? = null,
    val isLongPrompt: Boolean = false,
)

/**
 * Unfinished work that this instance has sent to each upstream.
 *
 * An engine prefills prompts one after the other. A prefill therefore counts in full until those queued before it are done,
 * whichever instance sent them. This matters in bursts of long prompts that many instances place on the same engines: if each
 * instance assumed that its own prefills start at once, the fleet's work would seem to shrink faster by a factor of the number of
 * instances.
 */
class UpstreamLoads {
    /** A prefill that is expected to start at [startsMs]. */
    private class Prefill(val startsMs: Double, val prefillMs: Double) {
        fun remainingAt(nowMs: Long): Double = (startsMs + prefillMs - nowMs).coerceIn(0.0, prefillMs)
    }

    private class UpstreamLoad(val startedAtMs: Long?) {
        val prefills = ArrayList<Prefill>()
        var running = 0
        var shortStreams = 0
        var helping = 0
        var heldTokens = 0L
        val levels = IntArray(ServiceRanks.MAX_LEVELS)
        var penaltyMs = 0.0
        var penaltyAtMs = 0L

        fun workAt(nowMs: Long) = UpstreamWork(
            prefills.sumOf { it.remainingAt(nowMs) },
            running,
            shortStreams,
            helping,
            heldTokens,
            StreamLevels.of { levels[it] },
        )

        fun penaltyAt(nowMs: Long): Double =
            if (penaltyMs == 0.0) 0.0 else penaltyMs * Math.pow(0.5, (nowMs - penaltyAtMs).toDouble() / PENALTY_HALF_LIFE_MS)
    }

    private val loads = HashMap<InstanceId, UpstreamLoad>()
    private val shortStreams =
        ShortStreamSums { loads.asSequence().map { (id, load) -> UpstreamList.hashOf(id) to load.shortStreams } }

    /** Unfinished work of this instance at [entry]. */
    @Synchronized
    fun workAt(entry: UpstreamEntry, nowMs: Long): UpstreamWork = knownLoadOf(entry)?.workAt(nowMs) ?: NO_WORK

    /** Penalty of [entry] for recent failures, in milliseconds. */
    @Synchronized
    fun penaltyOf(entry: UpstreamEntry, nowMs: Long): Double = knownLoadOf(entry)?.penaltyAt(nowMs) ?: 0.0

    /** Number of this instance's short streams at all upstreams of the service of [upstreams]. */
    @Synchronized
    fun shortStreamsAt(upstreams: UpstreamList): Int = shortStreams.at(upstreams)

    /** Unfinished work of this instance, by upstream; upstreams without any are left out. */
    @Synchronized
    fun all(nowMs: Long): Map<InstanceId, UpstreamWork> =
        loads.mapValues { it.value.workAt(nowMs) }.filterValues { it != UpstreamWork() }

    /** Adds [work], which counts until the returned handle ends it. */
    @Synchronized
    fun begin(work: PlacedWork, nowMs: Long): WorkInProgress {
        val first = addShare(work.placement.upstream, work, nowMs, work.heldTokens)
        first.load.running++
        if (work.isShortStream) changeShortStreams(first, 1)
        work.level?.let { first.load.levels[it]++ }
        val helpers = work.placement.helpers.map { addShare(it.upstream, work, nowMs, it.reservedTokens) }
        helpers.forEach { it.load.helping++ }
        return CountedWork(work, first, helpers)
    }

    private class EngineShare(val id: InstanceId, val load: UpstreamLoad, val prefill: Prefill, val heldTokens: Long)

    private fun addShare(entry: UpstreamEntry, work: PlacedWork, nowMs: Long, heldTokens: Long): EngineShare {
        val load = loadOf(entry)
        val prefill = Prefill(nowMs + (work.queuedPrefillMs[entry.id] ?: 0.0), work.prefillMs)
        load.prefills += prefill
        load.heldTokens += heldTokens
        return EngineShare(entry.id, load, prefill, heldTokens)
    }

    /** Adds a penalty for a failure of [entry] at [nowMs], so that the next placements prefer other upstreams. */
    @Synchronized
    fun penalise(entry: UpstreamEntry, nowMs: Long) {
        with(loadOf(entry)) {
            penaltyMs = minOf(penaltyAt(nowMs) + PENALTY_MS, MAX_PENALTY_MS)
            penaltyAtMs = nowMs
        }
    }

    /** Removes the upstreams that are not in [known] and have no work. */
    @Synchronized
    fun retain(known: Set<InstanceId>) {
        loads.entries.removeAll { (id, load) -> id !in known && load.running == 0 && load.helping == 0 }
    }

    private fun loadOf(entry: UpstreamEntry): UpstreamLoad =
        knownLoadOf(entry) ?: UpstreamLoad(entry.startedAtMs).also { loads[entry.id] = it }

    // Null if there is none, so that placements that only look at an upstream leave nothing behind.
    private fun knownLoadOf(entry: UpstreamEntry): UpstreamLoad? {
        val load = loads[entry.id] ?: return null
        if (load.startedAtMs == entry.startedAtMs) return load
        // A new process with the same id has none of the work of the previous one.
        loads.remove(entry.id)
        shortStreams.add(UpstreamList.hashOf(entry.id), -load.shortStreams)
        return null
    }

    private fun changeShortStreams(share: EngineShare, change: Int) {
        share.load.shortStreams += change
        if (loads[share.id] === share.load) shortStreams.add(UpstreamList.hashOf(share.id), change)
    }

    /** Handle of work that was added by [begin]. */
    interface WorkInProgress {
        /** Called when the prefill is done; calls after the first have no effect. */
        fun onPrefillDone()

        /** Called when the request has ended; calls after the first have no effect. */
        fun end()
    }

    private inner class CountedWork(
        private val work: PlacedWork,
        private val first: EngineShare,
        private val helpers: List<EngineShare>,
    ) : WorkInProgress {
        private var isPrefilling = true
        private var isEnded = false

        override fun onPrefillDone() = synchronized(this@UpstreamLoads) {
            if (!isPrefilling) return@synchronized
            isPrefilling = false
            first.load.prefills -= first.prefill
            helpers.forEach {
                it.load.prefills -= it.prefill
                it.load.helping--
            }
        }

        override fun end() = synchronized(this@UpstreamLoads) {
            if (isEnded) return@synchronized
            isEnded = true
            onPrefillDone()
            first.load.running--
            if (work.isShortStream) changeShortStreams(first, -1)
            work.level?.let { first.load.levels[it]-- }
            (helpers + first).forEach { it.load.heldTokens -= it.heldTokens }
        }
    }

    private companion object {
        val NO_WORK = UpstreamWork()

        /** Penalty of one failure, in milliseconds: about the prefill time of a long prompt on one engine. */
        const val PENALTY_MS = 400.0
        const val MAX_PENALTY_MS = 3_000.0

        /** Replicas that crash are available again after some seconds. */
        const val PENALTY_HALF_LIFE_MS = 1_500.0
    }
}
