package org.godwitwick.core.admission

/**
 * Token bucket that limits the work rate of one organisation at one instance. A request passes while the level is positive and
 * may take it below zero, so a request larger than the burst can pass and is paid off afterwards. Not thread safe.
 *
 * @param level initial level in work tokens.
 * @param atMs time of [level].
 */
class WorkBucket(private var level: Double, private var atMs: Long) {
    /**
     * Returns whether work may pass at [nowMs], given a rate of [ratePerSecond] and an allowed debt of [debtSeconds] at this
     * rate.
     */
    fun isOpen(ratePerSecond: Double, nowMs: Long, debtSeconds: Double = 0.0): Boolean {
        refill(ratePerSecond, nowMs)
        return ratePerSecond > 0.0 && level + debtSeconds * ratePerSecond > 0.0
    }

    /** Removes [workTokens] from the bucket; a negative value refunds them. */
    fun take(workTokens: Long) {
        level -= workTokens
    }

    /** Returns the time in ms until the bucket is open again at [ratePerSecond]: 0 if it is open, at most [MAX_RETRY_MS]. */
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
        /**
         * Size of the bucket in seconds of its rate. Bursts from a single user are shorter; longer ones are demand that the split
         * of the limit should follow.
         */
        const val BURST_SECONDS = 2.0
        const val MIN_RETRY_MS = 100L
        const val MAX_RETRY_MS = 30_000L
        private const val MS_PER_SECOND = 1_000.0
    }
}
