package org.godwitwick.node.forward

import org.godwitwick.core.forward.RecentWork
import org.godwitwick.core.model.InstanceId

/** Recent work by organisation of this instance's placements and, as far as reports arrive, of the other instances. Thread safe. */
class FleetRecentWork(private val peerLoads: PeerLoads) {
    private val own = RecentWork()

    /** Adds [prefillMs] of prefill that this instance has placed for [organisation], see [RecentWork.keyOf]. */
    fun add(organisation: Int, prefillMs: Double, nowMs: Long) = synchronized(own) { own.add(organisation, prefillMs, nowMs) }

    /** Recent work of this instance by organisation at [nowMs], in milliseconds. */
    fun own(nowMs: Long): Map<Int, Double> = synchronized(own) { own.all(nowMs) }

    /** Recent work of all known instances by organisation at [nowMs], in milliseconds. */
    fun all(nowMs: Long): Map<Int, Double> = sumOfWork(listOf(own(nowMs), peerLoads.recentWork(nowMs)))
}

/**
 * Recent work by organisation that is known to a collector.
 *
 * @property own work of the collector.
 * @property instanceReports work of each other instance in the collector's data centre.
 * @property remote work of each other data centre.
 */
class RecentWorkTotals(
    private val own: Map<Int, Double>,
    private val instanceReports: Map<InstanceId, Map<Int, Double>>,
    private val remote: List<Map<Int, Double>>,
) {
    private val local = sumOfWork(instanceReports.values + own)
    private val total = sumOfWork(remote + local)

    /** Work of the collector's data centre. */
    fun ofDataCentre(): Map<Int, Double> = local

    /** Work of the fleet without that of [receiver]. */
    fun except(receiver: InstanceId): Map<Int, Double> {
        val reported = instanceReports[receiver] ?: return total
        return total.mapValues { (organisation, workMs) -> workMs - (reported[organisation] ?: 0.0) }
    }
}

internal fun sumOfWork(parts: Collection<Map<Int, Double>>): Map<Int, Double> {
    val all = HashMap<Int, Double>()
    parts.forEach { part -> part.forEach { (organisation, workMs) -> all.merge(organisation, workMs, Double::plus) } }
    return all
}
