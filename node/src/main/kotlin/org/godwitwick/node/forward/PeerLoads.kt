package org.godwitwick.node.forward

import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.UpstreamList
import org.godwitwick.core.forward.UpstreamWork
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.peer.ForwardLoad
import org.godwitwick.node.peer.LoadScope
import java.util.concurrent.ConcurrentHashMap

/**
 * The work of the other instances, from the last report of each instance or from the totals that collectors report.
 *
 * The sums over the reports are changed when a report arrives or expires, by the difference from the sender's previous one, so that
 * a placement does not add up the work of the whole fleet.
 *
 * @param onLessWork called after a report that shows less work than the one before, without a lock.
 */
class PeerLoads(private val onLessWork: () -> Unit = {}) {
    private class Report(val load: ForwardLoad, val atMs: Long, val work: Map<Int, UpstreamWork>) {
        val recentWork by lazy(LazyThreadSafetyMode.PUBLICATION) { load.recentWork() }
    }

    private val instanceReports = ConcurrentHashMap<InstanceId, Report>()
    private val dataCentreReports = ConcurrentHashMap<String, Report>()
    private val fleetReports = HashMap<InstanceId, Report>()
    private var lastFleetReport: Report? = null
    private val fleetShortStreams = ShortStreamSums { shortStreamsIn(lastFleetReport?.work.orEmpty()) }

    // Reports of instances and data centres that are contained in the sums, in order of arrival.
    private val counted = LinkedHashSet<Report>()
    private var countedInstances = 0

    // Read by placements while reports change it; a placement that sees a part of a report is as good as one just before or after.
    private val countedWork = ConcurrentHashMap<Int, UpstreamWork>()
    private val countedShortStreams = ShortStreamSums { shortStreamsIn(countedWork) }

    /** Stores the report [load] of instance [from], unless a newer report has already arrived. */
    fun onReport(from: InstanceId, load: ForwardLoad, nowMs: Long) {
        val report = Report(load, nowMs, load.byUpstream())
        val replaced = synchronized(this) {
            when (load.scope) {
                LoadScope.INSTANCE -> instanceReports.replaceIfNewer(from, report, ::count)

                LoadScope.DATA_CENTRE -> dataCentreReports.replaceIfNewer(load.dataCentre, report, ::count)

                LoadScope.FLEET -> fleetReports.replaceIfNewer(from, report) { _, new ->
                    lastFleetReport = new
                    fleetShortStreams.refresh()
                }
            }
        }
        // The listener may wait for a lock whose owner reads the loads.
        if (replaced != null && load.showsLessThan(replaced.load)) onLessWork()
    }

    // Returns the report that was replaced, or null if there is none.
    private inline fun <K : Any> MutableMap<K, Report>.replaceIfNewer(
        key: K,
        report: Report,
        onReplaced: (Report?, Report) -> Unit,
    ): Report? {
        val last = this[key]
        if (last != null && last.load.isNewerThan(report.load)) return null
        this[key] = report
        onReplaced(last, report)
        return last
    }

    // Replaces [last] by [new] in the sums; both are of the same sender.
    private fun count(last: Report?, new: Report) {
        val before = last?.takeIf(counted::remove)
        counted += new
        countedInstances += new.load.instances - (before?.load?.instances ?: 0)
        new.work.forEach { (key, work) -> changeWork(key, before?.work?.get(key) ?: NO_WORK, work) }
        before?.work?.forEach { (key, work) -> if (key !in new.work) changeWork(key, work, NO_WORK) }
    }

    private fun removeExpired(nowMs: Long) {
        while (counted.isNotEmpty()) {
            val oldest = counted.first()
            if (oldest.isFresh(nowMs)) return
            counted.remove(oldest)
            countedInstances -= oldest.load.instances
            oldest.work.forEach { (key, work) -> changeWork(key, work, NO_WORK) }
        }
    }

    // All terms are whole numbers, so that the sums stay exact however often they are changed.
    private fun changeWork(key: Int, before: UpstreamWork, after: UpstreamWork) {
        if (before == after) return
        val sum = (countedWork[key] ?: NO_WORK) + after - before
        if (sum == NO_WORK) countedWork.remove(key) else countedWork[key] = sum
        countedShortStreams.add(key, after.shortStreams - before.shortStreams)
    }

    private fun shortStreamsIn(work: Map<Int, UpstreamWork>) = work.asSequence().map { (key, part) -> key to part.shortStreams }

    /** Work of all other instances at [nowMs]. Reports older than [MAX_AGE_MS] do not count. */
    @Synchronized
    fun at(nowMs: Long): PeerWork {
        val total = countingTotal(nowMs)
        return if (total == null) {
            PeerWork(countedWork, countedInstances) { synchronized(this) { countedShortStreams.at(it) } }
        } else {
            PeerWork(total.work, total.load.instances) { synchronized(this) { fleetShortStreams.at(it) } }
        }
    }

    // Either the reports of instances and data centres count, or, if it covers more instances, the newest total of the fleet, which is then
    // returned, so that no work is counted twice.
    private fun countingTotal(nowMs: Long): Report? {
        removeExpired(nowMs)
        return lastFleetReport?.takeIf { it.isFresh(nowMs) && it.load.instances > countedInstances }
    }

    /** Recent work of all other instances by organisation, in milliseconds, from the reports that count at [nowMs]. */
    fun recentWork(nowMs: Long): Map<Int, Double> {
        val sources = synchronized(this) { countingTotal(nowMs)?.let(::listOf) ?: counted.toList() }
        return sumOfWork(sources.map { it.recentWork })
    }

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

    private fun Report.isFresh(nowMs: Long): Boolean = nowMs - atMs <= MAX_AGE_MS

    private companion object {
        /** Several periods of the load exchange; an instance that is silent for longer has ended or is unreachable. */
        const val MAX_AGE_MS = 1_000L
        val NO_WORK = UpstreamWork()
    }
}

/**
 * The work of the other instances.
 *
 * @property instances number of other instances whose work is known.
 */
class PeerWork internal constructor(
    private val work: Map<Int, UpstreamWork>,
    val instances: Int,
    private val shortStreams: (UpstreamList) -> Int,
) {
    /** Total work of the other instances at [entry]. */
    fun workAt(entry: UpstreamEntry): UpstreamWork = work[ForwardLoad.keyOf(entry.id)] ?: NONE

    /** Number of the other instances' short streams at all upstreams of the service of [upstreams]. */
    fun shortStreamsAt(upstreams: UpstreamList): Int = shortStreams(upstreams)

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
