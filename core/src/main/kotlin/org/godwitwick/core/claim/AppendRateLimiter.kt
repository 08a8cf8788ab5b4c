package org.godwitwick.core.claim

/**
 * Token bucket that limits the appends of a shard. An isolated append is never delayed.
 *
 * @property perSecond sustained appends per second.
 * @property burst appends that may be made at once after an idle period.
 */
class AppendRateLimiter(private val perSecond: Double, private val burst: Int) {
    private var tokens = burst.toDouble()
    private var updatedAtMs = Long.MIN_VALUE

    /** Acquires an append at [nowMs] and returns 0, or acquires none and returns the time to wait in milliseconds. */
    fun acquireOrWaitMs(nowMs: Long): Long {
        if (updatedAtMs != Long.MIN_VALUE) {
            val elapsedMs = (nowMs - updatedAtMs).coerceAtLeast(0)
            tokens = minOf(burst.toDouble(), tokens + elapsedMs * perSecond / MS_PER_SECOND)
        }
        updatedAtMs = nowMs
        if (tokens < 1) return Math.ceil((1 - tokens) * MS_PER_SECOND / perSecond).toLong()
        tokens -= 1
        return 0
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
    }
}
