package org.godwitwick.core.admission

import kotlin.math.ceil
import kotlin.math.floor

/** Limits the number of replicas in a data centre that long reads may occupy. */
object LongReadShare {
    /**
     * Returns how many of [replicas] long reads may occupy: [fraction] of them, or more if shorter requests leave more unused.
     * Shorter requests need [shorterDemandReplicas], to which headroom is added. The result is at least one.
     */
    fun replicasFor(replicas: Int, fraction: Double, shorterDemandReplicas: Double): Int {
        val reserved = floor(replicas * fraction).toInt()
        val unused = replicas - ceil(shorterDemandReplicas * HEADROOM).toInt()
        return maxOf(reserved, unused).coerceIn(1, maxOf(replicas, 1))
    }

    /**
     * Returns the number of long reads that this instance may run. [peerLongReads] is the number that peers run, or null if it is
     * unknown; the instance is then limited to an even share of [allowedInDataCentre], but at least one.
     */
    fun allowedOnInstance(allowedInDataCentre: Int, peerLongReads: Int?, localInstances: Int): Int = when (peerLongReads) {
        null -> (allowedInDataCentre / localInstances).coerceAtLeast(1)
        else -> (allowedInDataCentre - peerLongReads).coerceAtLeast(0)
    }

    /** Factor on the measured mean demand. Arrivals are bursty, so the peak over a few seconds is well above the mean. */
    private const val HEADROOM = 1.25
}
