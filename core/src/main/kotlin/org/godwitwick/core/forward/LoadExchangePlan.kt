package org.godwitwick.core.forward

import org.godwitwick.core.membership.rendezvousLowest
import org.godwitwick.core.model.InstanceId

/**
 * Who tells whom what is sent to the upstreams. Answers the growth of the fleet: in a small one every instance tells all others; in a
 * larger one each tells two collectors of its data centre. One of these tells the collectors of the other data centres the sum of its
 * own, and its data centre's instances the sum of all, so that messages grow with the instances and not with their square, and no
 * instance sends more than its data centre needs.
 *
 * @property collectors instances that are told by those of their data centre; the first one tells the sums, the second one stands in
 *   for it.
 * @property isDirect whether every instance tells all others, so that nobody needs the sums.
 */
data class LoadExchangePlan(val collectors: Map<String, List<InstanceId>>, val isDirect: Boolean) {
    /** The collectors of [dataCentre]; in a small fleet all instances. */
    fun collectorsOf(dataCentre: String): List<InstanceId> =
        if (isDirect) collectors.values.flatten() else collectors[dataCentre].orEmpty()

    /** The collectors of all data centres but [dataCentre]. */
    fun collectorsElsewhere(dataCentre: String): List<InstanceId> = collectors.filterKeys { it != dataCentre }.values.flatten()

    /**
     * Whether [self] in [dataCentre] tells the sums.
     *
     * @param firstSilentMs time for which nothing was heard from the first collector, or null when nothing ever was.
     */
    fun tellsSums(self: InstanceId, dataCentre: String, firstSilentMs: Long?): Boolean {
        if (isDirect) return false
        val near = collectorsOf(dataCentre)
        return when (self) {
            near.firstOrNull() -> true
            in near -> firstSilentMs == null || firstSilentMs > TAKEOVER_MS
            else -> false
        }
    }

    companion object {
        /** The plan of [instances] and their data centres; all that know the same instances make the same plan. */
        fun of(instances: Map<InstanceId, String>): LoadExchangePlan {
            val byDataCentre = instances.entries.groupBy({ it.value }, { it.key })
            if (instances.size <= SMALL_FLEET_INSTANCES) return LoadExchangePlan(byDataCentre, isDirect = true)
            return LoadExchangePlan(byDataCentre.mapValues { rendezvousLowest("loads", it.value, COLLECTORS) }, isDirect = false)
        }

        private const val COLLECTORS = 2

        /** Several periods of the sums. */
        private const val TAKEOVER_MS = 1_000L
    }
}
