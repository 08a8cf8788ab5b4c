package org.godwitwick.core.health

/**
 * Limits retries to a fraction of the recent requests plus a small constant, so that retries cannot amplify an overload. Not
 * thread safe.
 *
 * @property fraction number of retries allowed per request in the window.
 * @property reserve number of additional retries allowed per window, so that an instance with little traffic can retry.
 * @property windowMs length of the sliding window in which requests and retries are counted.
 */
class RetryBudget(private val fraction: Double = 0.1, private val reserve: Int = 3, private val windowMs: Long = 10_000) {
    private val requests = ArrayDeque<Slot>()
    private val retries = ArrayDeque<Slot>()

    private class Slot(val number: Long, var count: Int)

    /** Records a request at [nowMs]. */
    fun onRequest(nowMs: Long) = add(requests, nowMs)

    /** Records a retry and returns true, or returns false if the budget is used up. [reserveNow] overrides [reserve]. */
    fun tryTake(nowMs: Long, reserveNow: Int = reserve): Boolean {
        val allowed = fraction * sum(requests, nowMs) + reserveNow
        if (sum(retries, nowMs) + 1 > allowed) return false
        add(retries, nowMs)
        return true
    }

    private fun slotOf(nowMs: Long): Long = nowMs / (windowMs / SLOTS)

    private fun add(slots: ArrayDeque<Slot>, nowMs: Long) {
        val number = slotOf(nowMs)
        val last = slots.lastOrNull()
        if (last != null && last.number == number) last.count++ else slots.addLast(Slot(number, 1))
    }

    private fun sum(slots: ArrayDeque<Slot>, nowMs: Long): Int {
        val oldest = slotOf(nowMs) - SLOTS
        while (slots.isNotEmpty() && slots.first().number <= oldest) slots.removeFirst()
        return slots.sumOf { it.count }
    }

    private companion object {
        const val SLOTS = 10
    }
}
