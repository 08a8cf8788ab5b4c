package org.godwitwick.core.forward

import org.godwitwick.core.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class LoadExchangePlanTest {
    private fun fleet(count: Int) = (1..count).mapTo(LinkedHashSet()) { InstanceId("entry-$it") }

    @Test
    fun `instances of a small fleet tell each other directly`() {
        val plan = LoadExchangePlan.of(fleet(9))
        expectThat(plan.collectors).hasSize(9)
        expectThat(plan.tellsSums(plan.collectors.first(), firstSilentMs = null)).isFalse()
    }

    // Guards against an exchange that grows with the square of the fleet.
    @Test
    fun `in a large fleet two instances are told by all, whatever order they are known in`() {
        val plan = LoadExchangePlan.of(fleet(520))
        expectThat(plan.collectors).hasSize(2)
        expectThat(LoadExchangePlan.of(fleet(520).reversed().toSet())).isEqualTo(plan)
    }

    @Test
    fun `the second collector tells the sums only while the first one is silent`() {
        val plan = LoadExchangePlan.of(fleet(71))
        val (first, second) = plan.collectors
        val other = fleet(71).first { it !in plan.collectors }
        expectThat(plan.tellsSums(first, firstSilentMs = null)).isTrue()
        expectThat(plan.tellsSums(second, firstSilentMs = 400)).isFalse()
        expectThat(plan.tellsSums(second, firstSilentMs = 1_400)).isTrue()
        expectThat(plan.tellsSums(other, firstSilentMs = 1_400)).isFalse()
    }
}
