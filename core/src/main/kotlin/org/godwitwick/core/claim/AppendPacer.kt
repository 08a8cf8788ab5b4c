package org.godwitwick.core.claim

/** Limits the appends of one shard to [perSecond], with bursts of [burst]. A lone append is never delayed. */
class AppendPacer(private val perSecond: Double, private val burst: Int) {
    private var tokens = burst.toDouble()
    private var updatedMs = Long.MIN_VALUE

    /** Takes one append at [nowMs] and returns 0, or returns the milliseconds to wait and takes none. */
    fun take(nowMs: Long): Long {
        if (updatedMs != Long.MIN_VALUE) {
            val elapsedMs = (nowMs - updatedMs).coerceAtLeast(0)
            tokens = minOf(burst.toDouble(), tokens + elapsedMs * perSecond / MS_PER_SECOND)
        }
        updatedMs = nowMs
        if (tokens < 1) return Math.ceil((1 - tokens) * MS_PER_SECOND / perSecond).toLong()
        tokens -= 1
        return 0
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
    }
}
