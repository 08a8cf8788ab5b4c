package org.godwitwick.core.forward

/**
 * How many instances the fleet has, as far as one of them knows from the registry. Answers the start of many instances at once: each
 * registers at another moment, so the first lists are incomplete. Not thread safe.
 */
class FleetSize {
    private var last: Int? = null

    /** Instances of the fleet, this one included; null until two lists in a row had the same number. */
    var settled: Int? = null
        private set

    /** The most instances that were ever registered at once; null until [settled] is known. */
    var largest: Int? = null
        private set

    /** Takes the number of instances that are registered now. */
    fun onRegistered(count: Int) {
        if (count == last || settled != null) {
            settled = count
            largest = maxOf(largest ?: 0, count)
        }
        last = count
    }
}

/**
 * The part of the fleet's retry [reserve] that one instance may use when the fleet has had [largestFleet] instances at the most, or null
 * when it doesn't know.
 *
 * Answers failures that all instances see at once. The parts of all must not add up to more than the reserve, also while instances
 * are added, or lapse in the registry of those that still reach it; so each takes half of its part of the largest fleet known.
 */
fun reserveShareOf(reserve: Int, largestFleet: Int?): Int {
    if (largestFleet == null) return minOf(reserve, UNKNOWN_FLEET_RESERVE)
    return reserve / maxOf(SMALLEST_DIVISOR, largestFleet * RESERVE_DIVISOR)
}

/** Largest fleet whose instances all read the store and tell each other directly: 60 messages a second for each of them. */
internal const val SMALL_FLEET_INSTANCES = 12

/** Repeats of an instance that knows nothing of the others: fleets have fewer instances than their reserve has repeats. */
private const val UNKNOWN_FLEET_RESERVE = 1

/** Small fleets may grow to several times their size within a window. */
private const val SMALLEST_DIVISOR = 16
private const val RESERVE_DIVISOR = 2
