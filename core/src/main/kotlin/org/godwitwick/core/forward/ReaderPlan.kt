package org.godwitwick.core.forward

import org.godwitwick.core.membership.rendezvousLowest
import org.godwitwick.core.model.InstanceId
import kotlin.math.ceil

/**
 * Which instances read the platform's store for the fleet. Answers the growth of the fleet: in a small one every instance reads for
 * itself; in a larger one a few readers in each data centre do, and the others ask these, so that calls to the store grow with the data
 * centres and not with the instances.
 *
 * @property readers the readers by data centre; empty when every instance reads for itself.
 */
data class ReaderPlan(val readers: Map<String, List<InstanceId>>) {
    /** Whether [self] reads the store. */
    fun isReader(self: InstanceId): Boolean = readers.isEmpty() || readers.values.any { self in it }

    /**
     * The readers that [self] in [dataCentre] asks, best first: those of its own data centre, then all others in an order of its own, so
     * that the followers of a lost reader spread over the others.
     */
    fun sourcesOf(self: InstanceId, dataCentre: String): List<InstanceId> {
        val near = readers[dataCentre].orEmpty()
        val far = readers.filterKeys { it != dataCentre }.values.flatten()
        return (inOrderOf(self, near) + inOrderOf(self, far)).filter { it != self }
    }

    private fun inOrderOf(self: InstanceId, ids: List<InstanceId>) = rendezvousLowest(self.value, ids, ids.size)

    companion object {
        /** The plan for [instances] and their data centres; all that know the same instances make the same plan. */
        fun of(instances: Map<InstanceId, String>): ReaderPlan {
            if (instances.size <= SMALL_FLEET_INSTANCES) return ReaderPlan(emptyMap())
            val byDataCentre = instances.entries.groupBy({ it.value }, { it.key })
            val each = ceil(LEAST_READERS.toDouble() / byDataCentre.size).toInt()
            return ReaderPlan(byDataCentre.mapValues { (_, ids) -> rendezvousLowest("reader", ids, each) })
        }

        /** Two readers may be lost at the same moment. */
        private const val LEAST_READERS = 3
    }
}
