package org.godwitwick.core.forward

/**
 * Number of instances in the fleet as seen by one of them through the registry. Not thread safe.
 *
 * When many instances start together, they register one after the other, so the first lists are incomplete. The size is therefore
 * unknown until two consecutive lists have the same number of instances.
 */
class FleetSize {
    private var lastCount: Int? = null

    /** Current number of instances including this one, or null until two consecutive lists had the same number. */
    var settled: Int? = null
        private set

    /** Highest number of instances registered at the same time, or null until [settled] is known. */
    var largest: Int? = null
        private set

    /** Updates the sizes with [count], the number of instances that are registered now, including this one. */
    fun onRegistered(count: Int) {
        if (count == lastCount || settled != null) {
            settled = count
            largest = maxOf(largest ?: 0, count)
        }
        lastCount = count
    }
}

/**
 * Number of retries from the fleet-wide [reserve] that one instance may use.
 *
 * When all instances see a failure at the same time, their shares must not add up to more than the reserve. This must also be
 * true while instances are being added, and while the registrations of running instances expire for those that still reach the
 * registry. Each instance therefore takes half of an equal share in the largest fleet that it has seen.
 *
 * @param largestFleet largest number of instances that this instance has seen, or null if it does not know the fleet yet.
 */
fun reserveShareOf(reserve: Int, largestFleet: Int?): Int {
    if (largestFleet == null) return minOf(reserve, UNKNOWN_FLEET_RESERVE)
    return reserve / maxOf(MIN_RESERVE_DIVISOR, largestFleet * RESERVE_DIVISOR)
}

/** Largest fleet in which each instance reads the store and sends its load to all others, with 60 messages per second each. */
internal const val SMALL_FLEET_INSTANCES = 12

/** Retries of an instance that does not know the fleet yet: a fleet has fewer instances than retries in its reserve. */
private const val UNKNOWN_FLEET_RESERVE = 1

/** Lower bound of the divisor, because a small fleet may grow to several times its size within one budget window. */
private const val MIN_RESERVE_DIVISOR = 16

/** Halves the equal share of each instance. */
private const val RESERVE_DIVISOR = 2
