package org.godwitwick.core.forward

import org.godwitwick.core.membership.rendezvousLowest
import org.godwitwick.core.model.InstanceId

/**
 * Assigns which instances report to each other the load that they have sent to the upstreams.
 *
 * In a small fleet each instance sends its load to all others. In a larger fleet each instance sends its load to the two
 * collectors of its data centre. One of these sends the total of its data centre to the collectors of the other data centres, and
 * the total of the fleet to the instances of its own data centre. The number of messages thus grows linearly with the number of
 * instances instead of quadratically, and no instance sends more than its data centre needs.
 *
 * @property collectors by data centre, the instances that receive the loads of that data centre: first the one that sends the
 *   totals, then its standby. If [isDirect], all instances.
 * @property isDirect whether each instance sends its load to all others, so that no totals are sent.
 */
data class LoadExchangePlan(val collectors: Map<String, List<InstanceId>>, val isDirect: Boolean) {
    /** The collectors of [dataCentre], or all instances of the fleet if [isDirect]. */
    fun collectorsOf(dataCentre: String): List<InstanceId> =
        if (isDirect) collectors.values.flatten() else collectors[dataCentre].orEmpty()

    /** The collectors of all data centres except [dataCentre]. */
    fun collectorsOfOtherDataCentres(dataCentre: String): List<InstanceId> =
        collectors.filterKeys { it != dataCentre }.values.flatten()

    /**
     * Whether [self] in [dataCentre] sends the totals.
     *
     * @param firstCollectorSilentMs time since the last message from the first collector, in milliseconds, or null if there was
     *   none.
     */
    fun sendsTotals(self: InstanceId, dataCentre: String, firstCollectorSilentMs: Long?): Boolean {
        if (isDirect) return false
        val local = collectorsOf(dataCentre)
        return when (self) {
            local.firstOrNull() -> true
            in local -> firstCollectorSilentMs == null || firstCollectorSilentMs > TAKEOVER_MS
            else -> false
        }
    }

    companion object {
        /** The plan for [instances], given with their data centres; depends on nothing else, so that all instances agree. */
        fun of(instances: Map<InstanceId, String>): LoadExchangePlan {
            val byDataCentre = instances.entries.groupBy({ it.value }, { it.key })
            if (instances.size <= SMALL_FLEET_INSTANCES) return LoadExchangePlan(byDataCentre, isDirect = true)
            return LoadExchangePlan(byDataCentre.mapValues { rendezvousLowest("loads", it.value, COLLECTORS) }, isDirect = false)
        }

        private const val COLLECTORS = 2

        /** Silence of the first collector after which the second one takes over; several periods of the totals. */
        private const val TAKEOVER_MS = 1_000L
    }
}
