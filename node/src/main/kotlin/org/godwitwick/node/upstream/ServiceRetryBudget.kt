package org.godwitwick.node.upstream

/** Lets retries be a fraction of the calls of the last 10 to 20 s, plus [SPARE_RETRIES], so that an outage is not made worse by them. */
class ServiceRetryBudget {
    private var periodStartMs = 0L
    private var calls = 0
    private var retries = 0
    private var callsBefore = 0
    private var retriesBefore = 0

    /** Counts a call. */
    @Synchronized
    fun countCall(nowMs: Long) {
        advance(nowMs)
        calls++
    }

    /** Takes one retry, or returns false when [fraction] of the recent calls is used up. */
    @Synchronized
    fun tryRetry(fraction: Double, nowMs: Long): Boolean {
        advance(nowMs)
        if (retries + retriesBefore + 1 > (calls + callsBefore) * fraction + SPARE_RETRIES) return false
        retries++
        return true
    }

    private fun advance(nowMs: Long) {
        if (nowMs - periodStartMs < PERIOD_MS) return
        val isNextPeriod = nowMs - periodStartMs < 2 * PERIOD_MS
        callsBefore = if (isNextPeriod) calls else 0
        retriesBefore = if (isNextPeriod) retries else 0
        calls = 0
        retries = 0
        periodStartMs = nowMs
    }

    private companion object {
        const val PERIOD_MS = 10_000L
        const val SPARE_RETRIES = 3
    }
}
