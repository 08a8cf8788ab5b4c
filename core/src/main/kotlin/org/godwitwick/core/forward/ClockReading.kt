package org.godwitwick.core.forward

/**
 * The same moment on two clocks.
 *
 * @property steadyMs never jumps, but may stand still while the machine is suspended.
 * @property wallMs counts suspensions, but may jump.
 */
data class ClockReading(val steadyMs: Long, val wallMs: Long) {
    /** The longest time that may have passed since [earlier]. */
    fun longestSince(earlier: ClockReading): Long = maxOf(steadyMs - earlier.steadyMs, wallMs - earlier.wallMs)
}
