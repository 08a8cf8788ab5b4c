package org.godwitwick.core.forward

import org.godwitwick.core.membership.rendezvousLowest
import org.godwitwick.core.model.InstanceId

/**
 * Who tells whom what is sent to the upstreams. Answers the growth of the fleet: in a small one every instance tells all others; in a
 * larger one each tells two collectors, one of which tells all others the sum, so that messages grow with the instances and not with
 * their square.
 *
 * @property collectors instances that are told by all; the first one tells the sums, the second one stands in for it.
 * @property isDirect whether every instance is a collector, so that nobody needs the sums.
 */
data class LoadExchangePlan(val collectors: List<InstanceId>, val isDirect: Boolean) {
    /**
     * Whether [self] tells the sums.
     *
     * @param firstSilentMs time for which nothing was heard from the first collector, or null when nothing ever was.
     */
    fun tellsSums(self: InstanceId, firstSilentMs: Long?): Boolean = when {
        isDirect -> false
        self == collectors.first() -> true
        self in collectors -> firstSilentMs == null || firstSilentMs > TAKEOVER_MS
        else -> false
    }

    companion object {
        /** The plan of a fleet of [instances]; all that know the same instances make the same plan. */
        fun of(instances: Set<InstanceId>): LoadExchangePlan {
            val isDirect = instances.size <= DIRECT_INSTANCES
            val collectors = if (isDirect) instances.toList() else rendezvousLowest("loads", instances.toList(), COLLECTORS)
            return LoadExchangePlan(collectors, isDirect)
        }

        /** Largest fleet whose instances tell each other directly: 60 messages a second for each of them. */
        private const val DIRECT_INSTANCES = 12
        private const val COLLECTORS = 2

        /** Several periods of the sums. */
        private const val TAKEOVER_MS = 1_000L
    }
}
