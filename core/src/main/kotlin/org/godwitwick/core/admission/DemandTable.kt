package org.godwitwick.core.admission

import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.OrganisationId

/**
 * Demand that one instance published.
 *
 * @property atMs time of the publication on the publisher's clock; orders its publications.
 * @property countedInstances entry instances that the publisher counts.
 * @property workPerSecond arriving work tokens of the organisations that need more than the floor share.
 * @property totalPerSecond arriving work tokens of all organisations.
 * @property longReads long reads that occupy a replica now.
 */
data class Demand(
    val atMs: Long,
    val countedInstances: Int,
    val workPerSecond: Map<OrganisationId, Double>,
    val totalPerSecond: Double = workPerSecond.values.sum(),
    val longReads: Int = 0,
    val dataCentre: String = "",
)

/** Demand of all instances as one of them knows it; decides on its part of every limit. */
class DemandTable(private val own: InstanceId, private var startedAtMs: Long) {
    private class Row(val demand: Demand, val receivedAtMs: Long)

    private val rows = HashMap<InstanceId, Row>()
    private var published: Demand? = null
    private var listed = 0
    private var listedBefore = 0
    private var shrunkAtMs = Long.MIN_VALUE

    /** Takes the number of entry instances on the list, this one included, and who they are. */
    fun onList(instances: Set<InstanceId>, nowMs: Long) {
        val count = (instances + own).size
        if (count < listed) {
            listedBefore = countedInstances(nowMs)
            shrunkAtMs = nowMs
        }
        listed = count
        rows.keys.retainAll { it in instances || nowMs - rows.getValue(it).receivedAtMs <= SHRINK_HOLD_MS }
    }

    /** Takes a row of a peer. Older publications of the same peer change nothing. */
    fun onRow(from: InstanceId, demand: Demand, nowMs: Long) {
        val present = rows[from]
        if (from == own || (present != null && present.demand.atMs >= demand.atMs)) return
        rows[from] = Row(demand, nowMs)
    }

    /** Records that this instance published [demand]. */
    fun onPublished(demand: Demand) {
        published = demand
    }

    /**
     * Forgets all peers and starts anew, as after a pause of the process or a time cut off: the others may have stopped counting
     * this instance, so that even its floor would come on top of their parts.
     */
    fun restart(nowMs: Long) {
        rows.clear()
        startedAtMs = nowMs
    }

    /**
     * Instances over which limits are split: a shrinking list takes effect only after an instance that left it without noticing
     * has stopped admitting, and the largest count of a fresh row wins.
     */
    fun countedInstances(nowMs: Long): Int {
        val held = if (shrunkAtMs != Long.MIN_VALUE && nowMs - shrunkAtMs < SHRINK_HOLD_MS) listedBefore else 0
        return maxOf(listed, held, fresh(nowMs).maxOfOrNull { it.countedInstances } ?: 0, fresh(nowMs).count() + 1)
    }

    /** This instance's part of [limit] of [organisation]. */
    fun shareOf(limit: Double, organisation: OrganisationId, nowMs: Long): Double =
        LimitSplit.shareOf(limit, knowledge(nowMs) { it.workPerSecond[organisation] ?: 0.0 })

    /** This instance's part of a quantity that is split by all demand in its data centre [dataCentre]. */
    fun shareInDataCentre(quantity: Double, dataCentre: String, localInstances: Int, nowMs: Long): Double {
        val peers = fresh(nowMs).filter { it.dataCentre == dataCentre }.toList()
        val ownDemand = published?.totalPerSecond ?: 0.0
        val seen = ownDemand + peers.sumOf { it.totalPerSecond }
        return LimitSplit.shareOf(quantity, LimitKnowledge(localInstances, peers.size + 1, ownDemand, seen, isSettled = true))
    }

    /** Long reads that peers in [dataCentre] run, or null when no peer is seen although some are listed there. */
    fun longReadsOfPeers(dataCentre: String, localInstances: Int, nowMs: Long): Int? {
        val peers = fresh(nowMs).filter { it.dataCentre == dataCentre }.toList()
        return if (peers.size + 1 < localInstances) null else peers.sumOf { it.longReads }
    }

    /** Whether the others count this instance in: each of them said so, or they have had the time to hear of it. */
    fun isSettled(nowMs: Long): Boolean {
        if (listed == 0) return false
        val counted = countedInstances(nowMs)
        val peers = fresh(nowMs).toList()
        val isAcknowledged = peers.size + 1 >= counted && peers.all { it.countedInstances >= counted }
        return isAcknowledged || nowMs - startedAtMs >= SETTLE_MS
    }

    private fun knowledge(nowMs: Long, demandOf: (Demand) -> Double): LimitKnowledge {
        val peers = fresh(nowMs).toList()
        val counted = countedInstances(nowMs)
        val ownDemand = published?.let(demandOf) ?: 0.0
        return LimitKnowledge(
            listedInstances = counted,
            seenInstances = peers.size + 1,
            ownDemand = ownDemand,
            seenDemand = ownDemand + peers.sumOf(demandOf),
            isSettled = isSettled(nowMs),
        )
    }

    private fun fresh(nowMs: Long): Sequence<Demand> =
        rows.values.asSequence().filter { nowMs - it.receivedAtMs <= FRESH_MS }.map { it.demand }

    companion object {
        /** Rows come every 500 ms over a few hops; after this age a peer counts as unseen. */
        const val FRESH_MS = 3_000L

        /** An instance that can't confirm its configuration stops admitting after 4 s. */
        const val SHRINK_HOLD_MS = 4_000L

        /** Time in which the list and the rows of a new instance reach the others. */
        const val SETTLE_MS = 3_000L
    }
}
