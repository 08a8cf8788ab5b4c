package org.godwitwick.core.forward

/**
 * One point in time, read from two clocks of the same instance.
 *
 * @property steadyMs monotonic clock in milliseconds; never jumps, but may stop while the machine is suspended.
 * @property wallMs wall clock in milliseconds; includes the time of suspensions, but may jump.
 */
data class ClockReading(val steadyMs: Long, val wallMs: Long) {
    /** Upper bound of the time that has passed since [earlier], in milliseconds: the larger difference of the two clocks. */
    fun maxElapsedMsSince(earlier: ClockReading): Long = maxOf(steadyMs - earlier.steadyMs, wallMs - earlier.wallMs)
}
