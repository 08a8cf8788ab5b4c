package org.godwitwick.core.admission

import kotlin.math.ceil
import kotlin.math.floor

/** Decides how many replicas of a data centre long reads may occupy. */
object LongShare {
    /**
     * Replicas that long reads may occupy out of [replicas]: [fraction] of all while shorter requests want the rest, and also what
     * their demand, in replicas with headroom, leaves unused; never under one.
     */
    fun replicasFor(replicas: Int, fraction: Double, shorterDemandReplicas: Double): Int {
        val own = floor(replicas * fraction).toInt()
        val left = replicas - ceil(shorterDemandReplicas * HEADROOM).toInt()
        return maxOf(own, left).coerceIn(1, maxOf(replicas, 1))
    }

    /**
     * Long reads that this instance may run. [ofPeers] is the number that peers run, or null when they can't be seen; then the
     * instance keeps to its even part, and to one if that is less.
     */
    fun allowedHere(allowedInDataCentre: Int, ofPeers: Int?, localInstances: Int): Int = when (ofPeers) {
        null -> (allowedInDataCentre / localInstances).coerceAtLeast(1)
        else -> (allowedInDataCentre - ofPeers).coerceAtLeast(0)
    }

    /** Arrivals are bursty: the peak of a few seconds is well above the mean that is measured. */
    private const val HEADROOM = 1.25
}
