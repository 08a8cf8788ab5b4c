package org.godwitwick.node.forward

import org.godwitwick.core.forward.Placement
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.UpstreamView
import org.godwitwick.core.model.InstanceId

/**
 * The work of one placed request.
 *
 * @property readMs reading time of each engine that takes part, in milliseconds.
 * @property heldTokens tokens that the first engine holds.
 */
data class PlacedWork(val placement: Placement, val readMs: Double, val heldTokens: Long)

/** What this instance has sent to each upstream and not seen end. */
class UpstreamLoads {
    private class Load(var bornMs: Long?) {
        var pendingReadMs = 0.0
        var running = 0
        var helping = 0
        var heldTokens = 0L
        var penaltyMs = 0.0
        var penaltyAtMs = 0L

        fun penaltyAt(nowMs: Long): Double {
            val halves = (nowMs - penaltyAtMs).toDouble() / PENALTY_HALF_LIFE_MS
            return penaltyMs * Math.pow(0.5, halves)
        }
    }

    private val loads = HashMap<InstanceId, Load>()

    /** The view of [entry] for a placement at [nowMs]. */
    @Synchronized
    fun viewOf(entry: UpstreamEntry, nowMs: Long): UpstreamView {
        val load = loadOf(entry)
        return UpstreamView(entry, load.pendingReadMs, load.running, load.helping, load.heldTokens, load.penaltyAt(nowMs))
    }

    /** Counts [work] in. */
    @Synchronized
    fun begin(work: PlacedWork): WorkInProgress {
        with(loadOf(work.placement.upstream)) {
            running++
            pendingReadMs += work.readMs
            heldTokens += work.heldTokens
        }
        work.placement.helpers.forEach { helper ->
            with(loadOf(helper.upstream)) {
                helping++
                pendingReadMs += work.readMs
                heldTokens += helper.reservedTokens
            }
        }
        return WorkInProgress(work)
    }

    /** Notes a failure of [entry] at [nowMs]; the next placements prefer others. */
    @Synchronized
    fun penalise(entry: UpstreamEntry, nowMs: Long) {
        with(loadOf(entry)) {
            penaltyMs = minOf(penaltyAt(nowMs) + PENALTY_MS, MAX_PENALTY_MS)
            penaltyAtMs = nowMs
        }
    }

    /** Forgets upstreams that aren't in [known]. */
    @Synchronized
    fun retain(known: Set<InstanceId>) {
        loads.keys.removeAll { it !in known && loads.getValue(it).running == 0 }
    }

    private fun loadOf(entry: UpstreamEntry): Load {
        val load = loads.getOrPut(entry.id) { Load(entry.bornMs) }
        if (load.bornMs == entry.bornMs) return load
        // A new process under the same id has none of the old one's work.
        return Load(entry.bornMs).also { loads[entry.id] = it }
    }

    /** Work that has been counted in and not out. */
    inner class WorkInProgress(private val work: PlacedWork) {
        private var isReading = true
        private var isEnded = false
        private val first = loadOf(work.placement.upstream)
        private val helpers = work.placement.helpers.map { loadOf(it.upstream) to it.reservedTokens }

        /** The prompt has been read. */
        fun readingEnded() = synchronized(this@UpstreamLoads) {
            if (!isReading) return@synchronized
            isReading = false
            first.pendingReadMs -= work.readMs
            helpers.forEach { (load, _) ->
                load.pendingReadMs -= work.readMs
                load.helping--
            }
        }

        /** The request has ended. */
        fun end() = synchronized(this@UpstreamLoads) {
            if (isEnded) return@synchronized
            isEnded = true
            readingEnded()
            first.running--
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
