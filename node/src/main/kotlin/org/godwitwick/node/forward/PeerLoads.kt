package org.godwitwick.node.forward

import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.UpstreamWork
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.peer.ForwardLoad
import org.godwitwick.node.peer.LoadScope
import java.util.concurrent.ConcurrentHashMap

/** The work of the other instances, as each last told it, or as collectors told the sums of data centres or of all. */
class PeerLoads {
    private class Told(val load: ForwardLoad, val atMs: Long, val work: Map<Int, UpstreamWork>)

    private val rows = ConcurrentHashMap<InstanceId, Told>()
    private val dataCentreSums = ConcurrentHashMap<String, Told>()
    private val fleetSums = ConcurrentHashMap<InstanceId, Told>()

    /** Takes what [from] tells; of two messages of one sender the one that was written later counts. */
    fun take(from: InstanceId, load: ForwardLoad, nowMs: Long) = when (load.scope) {
        LoadScope.INSTANCE -> rows.keep(from, load, nowMs)
        LoadScope.DATA_CENTRE -> dataCentreSums.keep(load.dataCentre, load, nowMs)
        LoadScope.FLEET -> fleetSums.keep(from, load, nowMs)
    }

    private fun <K : Any> ConcurrentHashMap<K, Told>.keep(key: K, load: ForwardLoad, nowMs: Long) {
        compute(key) { _, last -> last?.takeIf { it.load.isNewerThan(load) } ?: Told(load, nowMs, load.byUpstream()) }
    }

    /** The work of all others at [nowMs]. What was told more than [MAX_AGE_MS] ago no longer counts. */
    fun at(nowMs: Long): OthersWork {
        val sources = sources(nowMs)
        return OthersWork(sum(sources.map { it.work }), sources.sumOf { it.load.instances })
    }

    /** Time since [instance] last told its work, or null when it never did. */
    fun silentMs(instance: InstanceId, nowMs: Long): Long? = rows[instance]?.let { nowMs - it.atMs }

    /** The sums of what was told lately to this collector, and of its [own] work. */
    fun sums(own: Map<Int, UpstreamWork>, nowMs: Long): LoadSums {
        val fresh = rows.filterValues { it.isFresh(nowMs) }.mapValues { it.value.work }
        val elsewhere = dataCentreSums.values.filter { it.isFresh(nowMs) }
        return LoadSums(
            near = sum(fresh.values + own),
            rows = fresh,
            elsewhere = sum(elsewhere.map { it.work }),
            instancesElsewhere = elsewhere.sumOf { it.load.instances },
        )
    }

    // Either the rows and the sums of other data centres or the newest sum of all, whichever covers more instances, so that nothing
    // counts twice.
    private fun sources(nowMs: Long): List<Told> {
        val parts = (rows.values + dataCentreSums.values).filter { it.isFresh(nowMs) }
        val whole = fleetSums.values.filter { it.isFresh(nowMs) }.maxByOrNull { it.atMs }
        return if (whole != null && whole.load.instances > parts.sumOf { it.load.instances }) listOf(whole) else parts
    }

    private fun Told.isFresh(nowMs: Long): Boolean = nowMs - atMs <= MAX_AGE_MS

    private companion object {
        /** Several periods of the exchange; an instance that is silent for longer has gone or is cut off. */
        const val MAX_AGE_MS = 1_000L
    }
}

/**
 * The work of the other instances at one moment.
 *
 * @property instances other instances whose work is known.
 */
class OthersWork(private val work: Map<Int, UpstreamWork>, val instances: Int) {
    /** Their work at [entry]. */
    fun workAt(entry: UpstreamEntry): UpstreamWork = work[ForwardLoad.keyOf(entry.id)] ?: NONE

    private companion object {
        val NONE = UpstreamWork()
    }
}

/**
 * The work that a collector knows, by the key of the upstream.
 *
 * @property near that of its data centre, its own included.
 * @property rows that of each other instance of its data centre.
 * @property elsewhere that of the other data centres.
 */
class LoadSums(
    private val near: Map<Int, UpstreamWork>,
    private val rows: Map<InstanceId, Map<Int, UpstreamWork>>,
    private val elsewhere: Map<Int, UpstreamWork>,
    private val instancesElsewhere: Int,
) {
    private val whole = sum(listOf(near, elsewhere))

    /** The message for collectors elsewhere: the work of [dataCentre]. */
    fun ofDataCentre(dataCentre: String, wallMs: Long): ForwardLoad =
        ForwardLoad.of(near, wallMs, rows.size + 1, LoadScope.DATA_CENTRE, dataCentre)

    /** The message for [receiver], an instance of this data centre: the work of all others, without the receiver's. */
    fun without(receiver: InstanceId, wallMs: Long): ForwardLoad {
        val all = HashMap(whole)
        rows[receiver]?.forEach { (key, told) -> all.computeIfPresent(key) { _, work -> work - told } }
        val instances = rows.keys.count { it != receiver } + 1 + instancesElsewhere
        return ForwardLoad.of(all, wallMs, instances, LoadScope.FLEET)
    }
}

private fun sum(parts: Collection<Map<Int, UpstreamWork>>): HashMap<Int, UpstreamWork> {
    val all = HashMap<Int, UpstreamWork>()
    parts.forEach { part -> part.forEach { (key, work) -> all.merge(key, work, UpstreamWork::plus) } }
    return all
}
