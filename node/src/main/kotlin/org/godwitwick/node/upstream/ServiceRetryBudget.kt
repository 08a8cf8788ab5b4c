package org.godwitwick.node.upstream

/**
 * Limits retries to a fraction of the calls of the last 10 to 20 s, plus [SPARE_RETRIES], so that they do not amplify an outage.
 */
class ServiceRetryBudget {
    private var periodStartMs = 0L
    private var calls = 0
    private var retries = 0
    private var previousCalls = 0
    private var previousRetries = 0

    /** Counts a call. */
    @Synchronized
    fun countCall(nowMs: Long) {
        advance(nowMs)
        calls++
    }

    /** Consumes one retry, or returns false if the budget, [fraction] of the recent calls plus [SPARE_RETRIES], is exhausted. */
    @Synchronized
    fun tryRetry(fraction: Double, nowMs: Long): Boolean {
        advance(nowMs)
        if (retries + previousRetries + 1 > (calls + previousCalls) * fraction + SPARE_RETRIES) return false
        retries++
        return true
    }

    private fun advance(nowMs: Long) {
        if (nowMs - periodStartMs < PERIOD_MS) return
        val isNextPeriod = nowMs - periodStartMs < 2 * PERIOD_MS
        previousCalls = if (isNextPeriod) calls else 0
        previousRetries = if (isNextPeriod) retries else 0
        calls = 0
        retries = 0
        periodStartMs = nowMs
    }

    private companion object {
        const val PERIOD_MS = 10_000L
        const val SPARE_RETRIES = 3
    }
}
