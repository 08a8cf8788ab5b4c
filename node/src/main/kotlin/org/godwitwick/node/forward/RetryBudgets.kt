package org.godwitwick.node.forward

import org.godwitwick.core.health.RetryBudget

/**
 * Retry budget of each service. The limit applies to the total over all instances: each instance may retry [fraction] of its own
 * requests, and its current share [reserve] of further retries per window.
 */
class RetryBudgets(private val fraction: Double, private val reserve: () -> Int, private val windowMs: Long) {
    private val budgets = HashMap<String, RetryBudget>()

    /** Counts a request for [service]. */
    @Synchronized
    fun onRequest(service: String, nowMs: Long) = budgetOf(service).onRequest(nowMs)

    /** Takes one retry from the budget of [service]; returns false if the budget is exhausted. */
    @Synchronized
    fun tryTake(service: String, nowMs: Long): Boolean = budgetOf(service).tryTake(nowMs, reserve())

    private fun budgetOf(service: String) = budgets.getOrPut(service) { RetryBudget(fraction, reserve = 0, windowMs) }
}
