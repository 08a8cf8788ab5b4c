package org.godwitwick.core.forward

import org.godwitwick.core.membership.rendezvousLowest
import org.godwitwick.core.model.InstanceId
import kotlin.math.ceil

/**
 * Assigns which instances (readers) read the platform's store on behalf of the fleet.
 *
 * In a small fleet each instance reads the store itself. In a larger fleet only a few readers in each data centre do, and the
 * other instances (followers) ask them, so that calls to the store grow with the number of data centres instead of the number of
 * instances.
 *
 * @property readers the readers by data centre; empty if each instance reads the store itself.
 */
data class ReaderPlan(val readers: Map<String, List<InstanceId>>) {
    /** Whether [self] reads the store. */
    fun isReader(self: InstanceId): Boolean = readers.isEmpty() || readers.values.any { self in it }

    /**
     * The readers that [self] in [dataCentre] asks, in order of preference: those of its own data centre, then all others. The
     * order depends on [self], so that the followers of an unreachable reader spread over the remaining ones.
     */
    fun sourcesOf(self: InstanceId, dataCentre: String): List<InstanceId> {
        val local = readers[dataCentre].orEmpty()
        val remote = readers.filterKeys { it != dataCentre }.values.flatten()
        return (inOrderOf(self, local) + inOrderOf(self, remote)).filter { it != self }
    }

    private fun inOrderOf(self: InstanceId, ids: List<InstanceId>) = rendezvousLowest(self.value, ids, ids.size)

    companion object {
        /** The plan for [instances], given with their data centres; depends on nothing else, so that all instances agree. */
        fun of(instances: Map<InstanceId, String>): ReaderPlan {
            if (instances.size <= SMALL_FLEET_INSTANCES) return ReaderPlan(emptyMap())
            val byDataCentre = instances.entries.groupBy({ it.value }, { it.key })
            val readersPerDataCentre = ceil(MIN_READERS.toDouble() / byDataCentre.size).toInt()
            return ReaderPlan(byDataCentre.mapValues { (_, ids) -> rendezvousLowest("reader", ids, readersPerDataCentre) })
        }

        /** Minimum number of readers in the fleet; two of them may fail at the same time. */
        private const val MIN_READERS = 3
    }
}
