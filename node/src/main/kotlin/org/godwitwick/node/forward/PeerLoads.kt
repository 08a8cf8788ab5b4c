package org.godwitwick.node.forward

import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.UpstreamWork
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.peer.ForwardLoad
import java.util.concurrent.ConcurrentHashMap

/** The work of the other instances, as each last told it, or as a collector told the sum of all. */
class PeerLoads {
    private class Told(val load: ForwardLoad, val atMs: Long, val work: Map<Int, UpstreamWork>) {
        fun workAt(key: Int, nowMs: Long): UpstreamWork? = work[key]?.agedBy(nowMs - atMs)
    }

    private val rows = ConcurrentHashMap<InstanceId, Told>()
    private val sums = ConcurrentHashMap<InstanceId, Told>()

    /** Takes what [from] tells; of two messages the one that was written later counts. */
    fun take(from: InstanceId, load: ForwardLoad, nowMs: Long) {
        val known = if (load.isSum) sums else rows
        known.compute(from) { _, last ->
            if (last != null && last.load.isNewerThan(load)) last else Told(load, nowMs, load.byUpstream())
        }
    }

    /** The work of all others at [entry]. What was told more than [MAX_AGE_MS] ago no longer counts. */
    fun workAt(entry: UpstreamEntry, nowMs: Long): UpstreamWork {
        val key = ForwardLoad.keyOf(entry.id)
        return sources(nowMs).mapNotNull { it.workAt(key, nowMs) }.fold(UpstreamWork(), UpstreamWork::plus)
    }

    /** Other instances whose work is known at [nowMs]. */
    fun heardAt(nowMs: Long): Int = sources(nowMs).sumOf { it.load.instances }

    /** Time since [instance] last told its work, or null when it never did. */
    fun silentMs(instance: InstanceId, nowMs: Long): Long? = rows[instance]?.let { nowMs - it.atMs }

    /** The sum of what each instance told lately. */
    fun sums(nowMs: Long): LoadSums {
        val fresh = rows.filterValues { it.isFresh(nowMs) }
        val work = HashMap<Int, UpstreamWork>()
        fresh.values.forEach { row ->
            row.work.forEach { (key, told) -> work.merge(key, told.agedBy(nowMs - row.atMs), UpstreamWork::plus) }
        }
        return LoadSums(work, fresh.mapValues { (_, row) -> row.work.mapValues { it.value.agedBy(nowMs - row.atMs) } })
    }

    // Either the rows of all others or the newest sum, whichever covers more instances, so that nothing counts twice.
    private fun sources(nowMs: Long): List<Told> {
        val fresh = rows.values.filter { it.isFresh(nowMs) }
        val sum = sums.values.filter { it.isFresh(nowMs) }.maxByOrNull { it.atMs }
        return if (sum != null && sum.load.instances > fresh.size) listOf(sum) else fresh
    }

    private fun Told.isFresh(nowMs: Long): Boolean = nowMs - atMs <= MAX_AGE_MS

    private companion object {
        /** Several periods of the exchange; an instance that is silent for longer has gone or is cut off. */
        const val MAX_AGE_MS = 1_000L
    }
}

/**
 * The work of the instances that a collector has heard.
 *
 * @property work all of it, by the key of the upstream.
 * @property rows the work of each instance, by the key of the upstream.
 */
class LoadSums(private val work: Map<Int, UpstreamWork>, private val rows: Map<InstanceId, Map<Int, UpstreamWork>>) {
    /** The message for [receiver]: the collector's [own] work and that of all others, without the receiver's. */
    fun without(receiver: InstanceId, own: Map<Int, UpstreamWork>, wallMs: Long): ForwardLoad {
        val sum = HashMap(work)
        rows[receiver]?.forEach { (key, told) -> sum.computeIfPresent(key) { _, all -> all - told } }
        own.forEach { (key, told) -> sum.merge(key, told, UpstreamWork::plus) }
        return ForwardLoad.of(sum, wallMs, instances = rows.keys.count { it != receiver } + 1, isSum = true)
    }
}

private fun UpstreamWork.agedBy(ms: Long): UpstreamWork = copy(pendingReadMs = (pendingReadMs - ms).coerceAtLeast(0.0))
