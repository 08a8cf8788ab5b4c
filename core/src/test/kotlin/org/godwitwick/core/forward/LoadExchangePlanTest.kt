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
    fun `instances of a small fleet send their loads to each other directly`() {
        val fleet = fleet(9)
        val plan = LoadExchangePlan.of(fleet)
        expectThat(plan.collectorsOf("dc-1")).containsExactlyInAnyOrder(fleet.keys)
        expectThat(plan.sendsTotals(fleet.keys.first(), "dc-1", firstCollectorSilentMs = null)).isFalse()
    }

    // Guards against a number of messages that grows quadratically, and against collectors whose links carry the totals of the
    // whole fleet.
    @Test
    fun `a large fleet has two collectors in each data centre, regardless of the order of the instances`() {
        val fleet = fleet(520)
        val plan = LoadExchangePlan.of(fleet)
        expectThat(plan.collectors.values.toList()).hasSize(3).all { hasSize(2) }
        expectThat(plan.collectorsOf("dc-1").map { fleet[it] }).all { isEqualTo("dc-1") }
        expectThat(plan.collectorsOfOtherDataCentres("dc-1").map { fleet[it] }.toSet()).containsExactlyInAnyOrder("dc-0", "dc-2")
        expectThat(LoadExchangePlan.of(fleet.entries.reversed().associate { it.toPair() })).isEqualTo(plan)
    }

    @Test
    fun `the second collector sends the totals only while the first one is silent`() {
        val fleet = fleet(71)
        val plan = LoadExchangePlan.of(fleet)
        val (first, second) = plan.collectorsOf("dc-1")
        val other = fleet.keys.first { fleet[it] == "dc-1" && it != first && it != second }
        expectThat(plan.sendsTotals(first, "dc-1", firstCollectorSilentMs = null)).isTrue()
        expectThat(plan.sendsTotals(second, "dc-1", firstCollectorSilentMs = 400)).isFalse()
        expectThat(plan.sendsTotals(second, "dc-1", firstCollectorSilentMs = 1_400)).isTrue()
        expectThat(plan.sendsTotals(other, "dc-1", firstCollectorSilentMs = 1_400)).isFalse()
    }
}
