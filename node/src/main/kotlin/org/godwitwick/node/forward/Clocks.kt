package org.godwitwick.node.forward

import org.godwitwick.core.forward.ClockReading

/** The clocks of this process. */
object Clocks {
    private const val NANOS_PER_MS = 1_000_000L

    /** Monotonic time in milliseconds, from an arbitrary origin. */
    fun steadyMs(): Long = System.nanoTime() / NANOS_PER_MS

    /** Reads the monotonic clock and the wall clock. */
    fun read() = ClockReading(steadyMs(), System.currentTimeMillis())
}
