package org.godwitwick.core.membership

/** Gap between two ticks, in milliseconds, above which the process is assumed to have been paused. */
const val PAUSE_THRESHOLD_MS = 2_000L

/** Detects pauses of the process from gaps between periodic ticks, measured on a monotonic clock. */
class PauseDetector(private var lastTickMs: Long) {
    /** Records a tick and returns whether the time since the previous tick exceeds [PAUSE_THRESHOLD_MS]. */
    fun tick(nowMs: Long): Boolean {
        val gapMs = nowMs - lastTickMs
        lastTickMs = nowMs
        return gapMs > PAUSE_THRESHOLD_MS
    }
}
