package org.godwitwick.core.admission

import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.OrganisationId

/**
 * Demand published by one instance.
 *
 * @property atMs time of publication on the publisher's clock; a later time replaces an earlier one.
 * @property countedInstances number of entry instances that the publisher counts.
 * @property workPerSecond arriving work tokens per second, only for organisations close to or above their floor share.
 * @property totalPerSecond arriving work tokens per second of all organisations.
 * @property longReads number of long reads that currently occupy a replica.
 */
data class Demand(
    val atMs: Long,
    val countedInstances: Int,
    val workPerSecond: Map<OrganisationId, Double>,
    val totalPerSecond: Double = workPerSecond.values.sum(),
    val longReads: Int = 0,
    val dataCentre: String = "",
)

/** Demand of all entry instances from the view of this one; computes its share of each fleet-wide limit. Not thread safe. */
class DemandTable(private val self: InstanceId, private var startedAtMs: Long) {
    private class Row(val demand: Demand, val receivedAtMs: Long)

    private val rows = HashMap<InstanceId, Row>()
    private var published: Demand? = null
    private var listedCount = 0
    private var countBeforeShrink = 0
    private var shrunkAtMs = Long.MIN_VALUE

    /** Updates the listed entry instances; this instance is counted whether or not [instances] contains it. */
    fun onList(instances: Set<InstanceId>, nowMs: Long) {
        val count = (instances + self).size
        if (count < listedCount) {
            countBeforeShrink = countedInstances(nowMs)
            shrunkAtMs = nowMs
        }
        listedCount = count
        rows.keys.retainAll { it in instances || nowMs - rows.getValue(it).receivedAtMs <= SHRINK_DELAY_MS }
    }

    /** Stores the [demand] of the peer [from], unless a publication of the same time or later is already stored. */
    fun onRow(from: InstanceId, demand: Demand, nowMs: Long) {
        val present = rows[from]
        if (from == self || (present != null && present.demand.atMs >= demand.atMs)) return
        rows[from] = Row(demand, nowMs)
    }

    /** Records that this instance published [demand]. */
    fun onPublished(demand: Demand) {
        published = demand
    }

    /**
     * Removes all peers and resets the start time. Used after a process pause or a network partition: peers may have stopped
     * counting this instance, so even its floor share could exceed the limit together with theirs.
     */
    fun restart(nowMs: Long) {
        rows.clear()
        startedAtMs = nowMs
    }

    /**
     * Returns the number of instances that limits are split over, the largest of the listed, the visible and the peers' counts.
     *
     * A shrinking list takes effect only after [SHRINK_DELAY_MS], when an instance that was removed from it unnoticed has stopped
     * admitting requests.
     */
    fun countedInstances(nowMs: Long): Int {
        val delayedCount = if (shrunkAtMs != Long.MIN_VALUE && nowMs - shrunkAtMs < SHRINK_DELAY_MS) countBeforeShrink else 0
        return maxOf(listedCount, delayedCount, fresh(nowMs).maxOfOrNull { it.countedInstances } ?: 0, fresh(nowMs).count() + 1)
    }

    /** Returns this instance's share of [limit], the fleet-wide limit of [organisation]. */
    fun shareOf(limit: Double, organisation: OrganisationId, nowMs: Long): Double =
        LimitSplit.shareOf(limit, splitInput(nowMs) { it.workPerSecond[organisation] ?: 0.0 })

    /** Returns this instance's share of [quantity], split by total demand over the [localInstances] instances in [dataCentre]. */
    fun shareInDataCentre(quantity: Double, dataCentre: String, localInstances: Int, nowMs: Long): Double {
        val peers = fresh(nowMs).filter { it.dataCentre == dataCentre }.toList()
        val ownDemand = published?.totalPerSecond ?: 0.0
        val visibleDemand = ownDemand + peers.sumOf { it.totalPerSecond }
        return LimitSplit.shareOf(
            quantity,
            LimitSplitInput(localInstances, peers.size + 1, ownDemand, visibleDemand, isSettled = true),
        )
    }

    /**
     * Returns the number of long reads that peers in [dataCentre] run, or null if some of the [localInstances] are not visible.
     */
    fun peerLongReadsIn(dataCentre: String, localInstances: Int, nowMs: Long): Int? {
        val peers = fresh(nowMs).filter { it.dataCentre == dataCentre }.toList()
        return if (peers.size + 1 < localInstances) null else peers.sumOf { it.longReads }
    }

    /** Whether the peers count this instance: all of them have confirmed it, or [SETTLE_MS] have passed since the start. */
    fun isSettled(nowMs: Long): Boolean {
        if (listedCount == 0) return false
        val counted = countedInstances(nowMs)
        val peers = fresh(nowMs).toList()
        val isAcknowledged = peers.size + 1 >= counted && peers.all { it.countedInstances >= counted }
        return isAcknowledged || nowMs - startedAtMs >= SETTLE_MS
    }

    private fun splitInput(nowMs: Long, demandOf: (Demand) -> Double): LimitSplitInput {
        val peers = fresh(nowMs).toList()
        val counted = countedInstances(nowMs)
        val ownDemand = published?.let(demandOf) ?: 0.0
        return LimitSplitInput(
            listedInstances = counted,
            visibleInstances = peers.size + 1,
            ownDemand = ownDemand,
            visibleDemand = ownDemand + peers.sumOf(demandOf),
            isSettled = isSettled(nowMs),
        )
    }

    private fun fresh(nowMs: Long): Sequence<Demand> =
        rows.values.asSequence().filter { nowMs - it.receivedAtMs <= FRESH_MS }.map { it.demand }

    companion object {
        /** Age above which a peer's row is ignored. Rows are sent every 500 ms and take a few hops. */
        const val FRESH_MS = 3_000L

        /**
         * Delay until a shorter list takes effect: an instance that cannot confirm its configuration stops admitting after 4 s.
         */
        const val SHRINK_DELAY_MS = 4_000L

        /** Time in which the instance list and the rows of a new instance reach its peers. */
        const val SETTLE_MS = 3_000L
    }
}
