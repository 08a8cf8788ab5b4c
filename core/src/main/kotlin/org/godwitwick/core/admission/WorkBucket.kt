package org.godwitwick.core.admission

/**
 * Limits the rate of work of one organisation at one instance. A request passes while the level is positive and may take it below
 * zero, so that a request larger than the burst is possible and is paid for afterwards.
 */
class WorkBucket(private var level: Double, private var atMs: Long) {
    /** Whether work may pass at [nowMs] with [ratePerSecond] in force and a debt of at most [debtSeconds] of it. */
    fun isOpen(ratePerSecond: Double, nowMs: Long, debtSeconds: Double = 0.0): Boolean {
        refill(ratePerSecond, nowMs)
        return ratePerSecond > 0.0 && level + debtSeconds * ratePerSecond > 0.0
    }

    /** Takes [workTokens]. */
    fun take(workTokens: Long) {
        level -= workTokens
    }

    /** Milliseconds until the bucket is open again at [ratePerSecond]; at most [MAX_RETRY_MS]. */
    fun opensInMs(ratePerSecond: Double): Long = when {
        level > 0.0 -> 0
        ratePerSecond <= 0.0 -> MAX_RETRY_MS
        else -> (-level / ratePerSecond * MS_PER_SECOND).toLong().coerceIn(MIN_RETRY_MS, MAX_RETRY_MS)
    }

    private fun refill(ratePerSecond: Double, nowMs: Long) {
        level = minOf(ratePerSecond * BURST_SECONDS, level + (nowMs - atMs).coerceAtLeast(0) * ratePerSecond / MS_PER_SECOND)
        atMs = maxOf(atMs, nowMs)
    }

    companion object {
        /** Bursts of a clerk's work are shorter than this; longer ones are demand that the split should follow. */
        const val BURST_SECONDS = 2.0
        const val MIN_RETRY_MS = 100L
        const val MAX_RETRY_MS = 30_000L
        private const val MS_PER_SECOND = 1_000.0
    }
}
