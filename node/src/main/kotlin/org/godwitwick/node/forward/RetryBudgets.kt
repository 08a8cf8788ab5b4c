package org.godwitwick.node.forward

import org.godwitwick.core.health.RetryBudget

/**
 * The retry budget of each service. The bound holds for the sum over all instances: each takes the fraction of its own requests only,
 * and as many repeats besides as [reserve] gives at the moment.
 */
class RetryBudgets(private val fraction: Double, private val reserve: () -> Int, private val windowMs: Long) {
    private val budgets = HashMap<String, RetryBudget>()

    /** Counts a request for [service]. */
    @Synchronized
    fun onRequest(service: String, nowMs: Long) = budgetOf(service).onRequest(nowMs)

    /** Takes one repeat at [service], or returns false when the budget is used up. */
    @Synchronized
    fun tryTake(service: String, nowMs: Long): Boolean = budgetOf(service).tryTake(nowMs, reserve())

    private fun budgetOf(service: String) = budgets.getOrPut(service) { RetryBudget(fraction, reserve = 0, windowMs) }
}
