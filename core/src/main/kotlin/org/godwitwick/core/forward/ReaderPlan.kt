package org.godwitwick.core.forward

import org.godwitwick.core.membership.rendezvousLowest
import org.godwitwick.core.model.InstanceId
import kotlin.math.ceil

/**
 * Assigns which instances (readers) read the platform's store on behalf of the fleet.
 *
 * In a small fleet each instance reads the store itself. In a larger fleet only a few readers in each data centre do, and the
 * other instances (followers) ask them, so that calls to the store grow with the number of data centres instead of the number of
 * instances. Most of the readers are standbys: they pass on what an active reader reads, and read the store themselves when they
 * get no proof from it in time.
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

    /** The readers in the order in which they take on the reads of the store. */
    private val order: List<InstanceId> by lazy {
        readers.values.flatten().let { rendezvousLowest("active reader", it, it.size) }
    }

    /**
     * The readers on whose reads of the store the reader [self] relies, in order of preference; empty if it is an active reader or
     * not a reader. All instances should agree on it, but need not: a standby accepts only records that the other instance has read
     * from the store itself.
     */
    fun activeReadersFor(self: InstanceId): List<InstanceId> {
        val rank = order.indexOf(self)
        val activeCount = ceil(order.size.toDouble() / READERS_PER_ACTIVE_READER).toInt()
        if (rank < activeCount) return emptyList()
        val active = order.take(activeCount)
        val first = rank % activeCount
        return (active.drop(first) + active.take(first) + order.subList(activeCount, rank)).take(MAX_READERS_AHEAD)
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

        /** Bounds the standbys that ask an active reader, beside the followers of its data centre. */
        private const val READERS_PER_ACTIVE_READER = 12

        /** A standby spends time on each reader that does not answer, and two of the minimum number of readers may fail. */
        private const val MAX_READERS_AHEAD = 2
    }
}
