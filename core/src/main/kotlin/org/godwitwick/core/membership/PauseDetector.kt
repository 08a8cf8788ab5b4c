package org.godwitwick.core.membership

/** Gap between ticks of the monotonic clock after which an instance takes itself to have been paused. */
const val PAUSE_MS = 2_000L

/** Finds out that the process was paused, from ticks of a monotonic clock. */
class PauseDetector(private var lastTickMs: Long) {
    /** Records a tick; returns whether the time since the last one exceeds [PAUSE_MS]. */
    fun tick(nowMs: Long): Boolean {
        val gapMs = nowMs - lastTickMs
        lastTickMs = nowMs
        return gapMs > PAUSE_MS
    }
}
