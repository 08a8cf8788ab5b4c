package org.godwitwick.core.forward

import org.godwitwick.core.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class LoadExchangePlanTest {
    private fun fleet(count: Int) = (1..count).associate { InstanceId("entry-$it") to "dc-${it % 3}" }

    @Test
    fun `instances of a small fleet tell each other directly`() {
        val fleet = fleet(9)
        val plan = LoadExchangePlan.of(fleet)
        expectThat(plan.collectorsOf("dc-1")).containsExactlyInAnyOrder(fleet.keys)
        expectThat(plan.tellsSums(fleet.keys.first(), "dc-1", firstSilentMs = null)).isFalse()
    }

    // Guards against an exchange that grows with the square of the fleet, and against collectors whose links carry the whole fleet's sums.
    @Test
    fun `in a large fleet two instances of each data centre are told by all of it, whatever order they are known in`() {
        val fleet = fleet(520)
        val plan = LoadExchangePlan.of(fleet)
        expectThat(plan.collectors.values.toList()).hasSize(3).all { hasSize(2) }
        expectThat(plan.collectorsOf("dc-1").map { fleet[it] }).all { isEqualTo("dc-1") }
        expectThat(plan.collectorsElsewhere("dc-1").map { fleet[it] }.toSet()).containsExactlyInAnyOrder("dc-0", "dc-2")
        expectThat(LoadExchangePlan.of(fleet.entries.reversed().associate { it.toPair() })).isEqualTo(plan)
    }

    @Test
    fun `the second collector tells the sums only while the first one is silent`() {
        val fleet = fleet(71)
        val plan = LoadExchangePlan.of(fleet)
        val (first, second) = plan.collectorsOf("dc-1")
        val other = fleet.keys.first { fleet[it] == "dc-1" && it != first && it != second }
        expectThat(plan.tellsSums(first, "dc-1", firstSilentMs = null)).isTrue()
        expectThat(plan.tellsSums(second, "dc-1", firstSilentMs = 400)).isFalse()
        expectThat(plan.tellsSums(second, "dc-1", firstSilentMs = 1_400)).isTrue()
        expectThat(plan.tellsSums(other, "dc-1", firstSilentMs = 1_400)).isFalse()
    }
}
