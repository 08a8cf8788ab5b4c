package org.godwitwick.core.admission

/**
 * Token bucket that limits the work rate of one organisation at one instance. A request passes while the level is positive and
 * may take it below zero, so a request larger than the burst can pass and is paid off afterwards. Not thread safe.
 *
 * @param levelTokens initial level in work tokens.
 * @param updatedAtMs time of [levelTokens].
 */
class WorkBucket(private var levelTokens: Double, private var updatedAtMs: Long) {
    /**
     * Returns whether work may pass at [nowMs], given a rate of [ratePerSecond] and an allowed debt of [debtSeconds] at this
     * rate.
     */
    fun isOpen(ratePerSecond: Double, nowMs: Long, debtSeconds: Double = 0.0): Boolean {
        refill(ratePerSecond, nowMs)
        return ratePerSecond > 0.0 && levelTokens + debtSeconds * ratePerSecond > 0.0
    }

    /** Removes [workTokens] from the bucket; a negative value refunds them. */
    fun take(workTokens: Long) {
        levelTokens -= workTokens
    }

    /** Returns the time in ms until the bucket is open again at [ratePerSecond]: 0 if it is open, at most [MAX_RETRY_MS]. */
    fun opensInMs(ratePerSecond: Double): Long = when {
        levelTokens > 0.0 -> 0
        ratePerSecond <= 0.0 -> MAX_RETRY_MS
        else -> (-levelTokens / ratePerSecond * MS_PER_SECOND).toLong().coerceIn(MIN_RETRY_MS, MAX_RETRY_MS)
    }

    private fun refill(ratePerSecond: Double, nowMs: Long) {
        levelTokens =
            minOf(
                ratePerSecond * BURST_SECONDS,
                levelTokens + (nowMs - updatedAtMs).coerceAtLeast(0) * ratePerSecond / MS_PER_SECOND,
            )
        updatedAtMs = maxOf(updatedAtMs, nowMs)
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
