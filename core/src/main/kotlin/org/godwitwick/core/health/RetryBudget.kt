package org.godwitwick.core.health

/**
 * Limits retries to a fraction of the recent requests plus a small constant, so that retries can't multiply an overload.
 *
 * Not thread safe.
 *
 * @property fraction retries allowed for each request of the window.
 * @property reserve retries allowed in each window besides, so that an instance with little traffic can retry at all.
 * @property windowMs length of the window in which requests and retries are counted.
 */
class RetryBudget(private val fraction: Double = 0.1, private val reserve: Int = 3, private val windowMs: Long = 10_000) {
    private val requests = ArrayDeque<Slot>()
    private val retries = ArrayDeque<Slot>()

    private class Slot(val number: Long, var count: Int)

    /** Counts one request. */
    fun onRequest(nowMs: Long) = add(requests, nowMs)

    /** Takes one retry; false when the budget is used up. [reserveNow] replaces the reserve where it changes over time. */
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
