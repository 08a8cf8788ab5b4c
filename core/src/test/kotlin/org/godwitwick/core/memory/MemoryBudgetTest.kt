package org.godwitwick.core.memory

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random

class MemoryBudgetTest {
    private val budget = MemoryBudget(limitBytes = 8L shl 20)

    @Test
    fun `shares beyond the limit are refused and change nothing`() {
        expectThat(budget.resize(0, 7L shl 20)).isTrue()
        expectThat(budget.resize(0, 65_537)).isFalse()
        expectThat(budget.usedBytes).isEqualTo(7L shl 20)
    }

    // Guards against short requests that are refused for as long as a few large ones are served.
    @Test
    fun `small shares fit beside large ones that take all they may`() {
        expectThat(budget.resize(0, budget.largeLimitBytes)).isTrue()
        repeat(16) { expectThat(budget.resize(0, 65_536)).isTrue() }
        expectThat(budget.resize(0, 1)).isFalse()
    }

    @Test
    fun `a share may always shrink, also while small shares use the reserve`() {
        budget.resize(0, budget.largeLimitBytes)
        budget.resize(0, 65_536)
        expectThat(budget.resize(budget.largeLimitBytes, 4L shl 20)).isTrue()
        expectThat(budget.resize(4L shl 20, 0)).isTrue()
        expectThat(budget.usedBytes).isEqualTo(65_536)
    }

    @Test
    fun `a stated length near the largest number is refused`() {
        budget.resize(0, 1_000)
        expectThat(budget.resize(0, Long.MAX_VALUE)).isFalse()
        expectThat(budget.resize(1_000, Long.MAX_VALUE)).isFalse()
    }

    @Test
    fun `the sum of random shares never exceeds the limit and ends at zero`() {
        val random = Random(43)
        val shares = LongArray(200)
        repeat(100_000) {
            val i = random.nextInt(shares.size)
            val wanted = if (random.nextInt(3) == 0) 0L else random.nextLong(0, 4L shl random.nextInt(10, 21))
            if (budget.resize(shares[i], wanted)) shares[i] = wanted
            check(budget.usedBytes == shares.sum() && budget.usedBytes <= budget.limitBytes)
        }
        shares.forEach { budget.resize(it, 0) }
        expectThat(budget.usedBytes).isEqualTo(0)
    }

    // Guards against a log line for each of thousands of refusals.
    @Test
    fun `refusals are reported at once and then at most once in a period`() {
        val report = RefusalReport(periodMs = 5_000)
        expectThat(report.onRefused(100)).isEqualTo(1)
        repeat(50) { expectThat(report.onRefused(200L + it)).isNull() }
        expectThat(report.onRefused(5_099)).isNull()
        expectThat(report.onRefused(5_100)).isEqualTo(52)
    }
}
