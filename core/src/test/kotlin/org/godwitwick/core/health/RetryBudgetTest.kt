package org.godwitwick.core.health

import org.godwitwick.core.forward.reserveShareOf
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class RetryBudgetTest {
    @Test
    fun `retries are limited to a tenth of the recent requests plus three`() {
        val budget = RetryBudget()
        repeat(50) { budget.onRequest(nowMs = 1_000) }
        expectThat((1..20).count { budget.tryTake(1_000) }).isEqualTo(8)
        expectThat((1..20).count { budget.tryTake(12_000) }).isEqualTo(3)
    }

    // Guards against a bound that holds per instance only: a service fails on all 71 instances, and each sees part of its
    // requests.
    @Test
    fun `the retries of all instances in a large fleet stay within the bound for the fleet`() {
        val budgets = List(71) { RetryBudget(fraction = 0.16, reserve = 0, windowMs = 12_000) }
        repeat(900) { budgets[it % 71].onRequest(nowMs = it * 10L) }
        val repeats = budgets.sumOf { budget -> (1..100).count { budget.tryTake(9_500, reserveShareOf(218, 71)) } }
        expectThat(repeats).isLessThanOrEqualTo((0.2 * 900 + 218).toInt())
    }
}
