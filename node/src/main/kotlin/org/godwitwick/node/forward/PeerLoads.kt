package org.godwitwick.node.forward

import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.UpstreamWork
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.peer.ForwardLoad
import org.godwitwick.node.peer.LoadScope
import java.util.concurrent.ConcurrentHashMap

/**
 * The work of the other instances, from the last report of each instance or from the totals that collectors report.
 *
 * @param onLessWork called after a report that shows less work than the one before.
 */
class PeerLoads(private val onLessWork: () -> Unit = {}) {
    private class Report(val load: ForwardLoad, val atMs: Long, val work: Map<Int, UpstreamWork>) {
        val recentWork by lazy(LazyThreadSafetyMode.PUBLICATION) { load.recentWork() }
    }

    private val instanceReports = ConcurrentHashMap<InstanceId, Report>()
    private val dataCentreReports = ConcurrentHashMap<String, Report>()
    private val fleetReports = ConcurrentHashMap<InstanceId, Report>()

    /** Stores the report [load] of instance [from], unless a newer report has already arrived. */
    fun onReport(from: InstanceId, load: ForwardLoad, nowMs: Long) = when (load.scope) {
        LoadScope.INSTANCE -> instanceReports.replaceIfNewer(from, load, nowMs)
        LoadScope.DATA_CENTRE -> dataCentreReports.replaceIfNewer(load.dataCentre, load, nowMs)
        LoadScope.FLEET -> fleetReports.replaceIfNewer(from, load, nowMs)
    }

    private fun <K : Any> ConcurrentHashMap<K, Report>.replaceIfNewer(key: K, load: ForwardLoad, nowMs: Long) {
        var showsLess = false
        compute(key) { _, last ->
            if (last != null && last.load.isNewerThan(load)) return@compute last
            showsLess = last != null && load.showsLessThan(last.load)
            Report(load, nowMs, load.byUpstream())
        }
        if (showsLess) onLessWork()
    }

    /** Work of all other instances at [nowMs]. Reports older than [MAX_AGE_MS] do not count. */
    fun at(nowMs: Long): PeerWork {
        val sources = sources(nowMs)
        return PeerWork(sum(sources.map { it.work }), sources.sumOf { it.load.instances })
    }

    /** Recent work of all other instances by organisation, in milliseconds, from the reports that count at [nowMs]. */
    fun recentWork(nowMs: Long): Map<Int, Double> = sumOfWork(sources(nowMs).map { it.recentWork })

    /** Time since the last report of [instance], in milliseconds, or null if there was none. */
    fun silentMs(instance: InstanceId, nowMs: Long): Long? = instanceReports[instance]?.let { nowMs - it.atMs }

    /** Totals of the recent reports to this collector, of its [own] work and of its [ownRecentWork] by organisation. */
    fun totals(own: Map<Int, UpstreamWork>, nowMs: Long, ownRecentWork: Map<Int, Double> = emptyMap()): LoadTotals {
        val fresh = instanceReports.filterValues { it.isFresh(nowMs) }.mapValues { it.value.work }
        val remote = dataCentreReports.values.filter { it.isFresh(nowMs) }
        return LoadTotals(
            local = sum(fresh.values + own),
            instanceReports = fresh,
            remote = sum(remote.map { it.work }),
            remoteInstances = remote.sumOf { it.load.instances },
            recentWork = RecentWorkTotals(
                ownRecentWork,
                instanceReports.filterValues { it.isFresh(nowMs) }.mapValues { it.value.recentWork },
                remote.map { it.recentWork },
            ),
        )
    }

    // Uses either the reports of instances and data centres or the newest total of the fleet, whichever covers more instances, so
    // that no work is counted twice.
    private fun sources(nowMs: Long): List<Report> {
        val partial = (instanceReports.values + dataCentreReports.values).filter { it.isFresh(nowMs) }
        val total = fleetReports.values.filter { it.isFresh(nowMs) }.maxByOrNull { it.atMs }
        return if (total != null && total.load.instances > partial.sumOf { it.load.instances }) listOf(total) else partial
    }

    private fun Report.isFresh(nowMs: Long): Boolean = nowMs - atMs <= MAX_AGE_MS

    private companion object {
        /** Several periods of the load exchange; an instance that is silent for longer has ended or is unreachable. */
        const val MAX_AGE_MS = 1_000L
    }
}

/**
 * The work of the other instances at one point in time.
 *
 * @property instances number of other instances whose work is known.
 */
class PeerWork(private val work: Map<Int, UpstreamWork>, val instances: Int) {
    /** Total work of the other instances at [entry]. */
    fun workAt(entry: UpstreamEntry): UpstreamWork = work[ForwardLoad.keyOf(entry.id)] ?: NONE

    private companion object {
        val NONE = UpstreamWork()
    }
}

/**
 * Work known to a collector, in maps by the key of the upstream.
 *
 * @property local work of the collector's data centre, including the collector's own.
 * @property instanceReports work of each other instance in the collector's data centre.
 * @property remote work of the other data centres.
 * @property remoteInstances number of instances whose work [remote] covers.
 * @property recentWork recent work by organisation of the same instances.
 */
class LoadTotals(
    private val local: Map<Int, UpstreamWork>,
    private val instanceReports: Map<InstanceId, Map<Int, UpstreamWork>>,
    private val remote: Map<Int, UpstreamWork>,
    private val remoteInstances: Int,
    private val recentWork: RecentWorkTotals,
) {
    private val total = sum(listOf(local, remote))

    /** Builds the message to the collectors of other data centres: the work of [dataCentre], which is this collector's. */
    fun ofDataCentre(dataCentre: String, wallMs: Long): ForwardLoad =
        ForwardLoad.of(local, wallMs, instanceReports.size + 1, LoadScope.DATA_CENTRE, dataCentre, recentWork.ofDataCentre())

    /** Builds the message to [receiver], an instance of this data centre: the work of the fleet without that of the receiver. */
    fun except(receiver: InstanceId, wallMs: Long): ForwardLoad {
        val all = HashMap(total)
        instanceReports[receiver]?.forEach { (key, own) -> all.computeIfPresent(key) { _, work -> work - own } }
        val instances = instanceReports.keys.count { it != receiver } + 1 + remoteInstances
        return ForwardLoad.of(all, wallMs, instances, LoadScope.FLEET, recentWork = recentWork.except(receiver))
    }
}

private fun sum(parts: Collection<Map<Int, UpstreamWork>>): HashMap<Int, UpstreamWork> {
    val all = HashMap<Int, UpstreamWork>()
    parts.forEach { part -> part.forEach { (key, work) -> all.merge(key, work, UpstreamWork::plus) } }
    return all
}
