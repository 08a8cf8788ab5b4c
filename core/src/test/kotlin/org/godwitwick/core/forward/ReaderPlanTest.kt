package org.godwitwick.core.forward

import org.godwitwick.core.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isContainedIn
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

class ReaderPlanTest {
    private fun fleet(count: Int, dataCentres: Int) = (1..count).associate { InstanceId("entry-$it") to "dc-${it % dataCentres}" }

    @Test
    fun `each instance of a small fleet reads the store itself`() {
        val fleet = fleet(9, 3)
        val plan = ReaderPlan.of(fleet)
        expectThat(fleet.keys.map(plan::isReader)).all { isTrue() }
        expectThat(plan.sourcesOf(fleet.keys.first(), "dc-1")).isEmpty()
    }

    // Guards against a number of store calls that grows with the number of instances.
    @Test
    fun `a large fleet has one reader in each data centre and at least three in total`() {
        val readers = listOf(95 to 5, 520 to 36, 71 to 3, 30 to 1).map { (count, dataCentres) ->
            val fleet = fleet(count, dataCentres)
            fleet.keys.count(ReaderPlan.of(fleet)::isReader)
        }
        expectThat(readers).isEqualTo(listOf(5, 36, 3, 3))
    }

    // Guards against a fleet in which no reader reads the store, or more of them than needed do.
    @Test
    fun `one reader of a dozen reads the store for the others and each standby relies on it`() {
        val ahead = listOf(18 to 3, 95 to 5, 520 to 36).map { (count, dataCentres) ->
            val plan = ReaderPlan.of(fleet(count, dataCentres))
            plan.readers.values.flatten().associateWith(plan::activeReadersFor)
        }
        expectThat(ahead.map { ofReaders -> ofReaders.values.count { it.isEmpty() } }).isEqualTo(listOf(1, 1, 3))
        ahead.forEach { ofReaders ->
            val active = ofReaders.filterValues { it.isEmpty() }.keys
            expectThat(ofReaders.filterKeys { it !in active }.map { it.value.first() }).all { isContainedIn(active) }
        }
    }

    @Test
    fun `a follower asks the reader of its own data centre first`() {
        val fleet = fleet(95, 5)
        val plan = ReaderPlan.of(fleet)
        val followers = fleet.keys.filterNot(plan::isReader)
        expectThat(followers.map { fleet[plan.sourcesOf(it, fleet.getValue(it)).first()] == fleet[it] }).all { isTrue() }
    }

    // Guards against the followers of an unreachable reader all switching to the same other reader.
    @Test
    fun `the followers of an unreachable reader spread over the others`() {
        val fleet = fleet(95, 5)
        val plan = ReaderPlan.of(fleet)
        val second = fleet.keys.filter {
            fleet[it] == "dc-1" && !plan.isReader(it)
        }.groupingBy { plan.sourcesOf(it, "dc-1")[1] }.eachCount()
        expectThat(second.size).isGreaterThan(2)
        expectThat(second.values.max()).isLessThan(12)
    }

    @Test
    fun `the plan does not depend on the order of the instances`() {
        val fleet = fleet(95, 5)
        expectThat(ReaderPlan.of(fleet.entries.reversed().associate { it.toPair() })).isEqualTo(ReaderPlan.of(fleet))
        expectThat(ReaderPlan.of(fleet).readers.values.toList()).hasSize(5)
    }
}
