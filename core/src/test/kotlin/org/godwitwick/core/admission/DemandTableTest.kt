package org.godwitwick.core.admission

import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.OrganisationId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo

class DemandTableTest {
    private val bakery = OrganisationId("bakery")
    private val ids = (0 until 4).map { InstanceId("n$it") }

    private fun demand(atMs: Long, work: Double, counted: Int = 4) = Demand(atMs, counted, mapOf(bakery to work))

    private fun tables(count: Int) = ids.take(count).map { id -> DemandTable(id, 0).apply { onList(ids.take(count).toSet(), 0) } }

    private fun exchange(tables: List<DemandTable>, group: List<Int>, nowMs: Long, work: (Int) -> Double) {
        val rows = tables.indices.associateWith { demand(nowMs, work(it), tables[it].countedInstances(nowMs)) }
        rows.forEach { (i, row) -> tables[i].onPublished(row) }
        for (to in group) for (from in group) if (from != to) tables[to].onRow(ids[from], rows.getValue(from), nowMs)
    }

    private fun total(tables: List<DemandTable>, nowMs: Long) = tables.sumOf { it.shareOf(1_000.0, bakery, nowMs) }

    // Guards against a limit that an organisation cannot use up because all its requests reach one instance.
    @Test
    fun `connected instances use the whole limit and split it by demand`() {
        val tables = tables(4)
        exchange(tables, listOf(0, 1, 2, 3), 10_000) { if (it == 0) 100.0 else 0.0 }
        expectThat(total(tables, 10_000)).isEqualTo(1_000.0)
        expectThat(tables[0].shareOf(1_000.0, bakery, 10_000)).isEqualTo(625.0)
    }

    // Guards against over-admission during a network partition, for several ways to divide the instances.
    @Test
    fun `partitioned groups together stay within the limit`() {
        for (groups in listOf(
            listOf(listOf(0, 1), listOf(2, 3)),
            listOf(listOf(0), listOf(1, 2, 3)),
            ids.indices.map {
                listOf(it)
            },
        )) {
            val tables = tables(4)
            groups.forEach { group -> exchange(tables, group, 10_000) { it + 1.0 } }
            expectThat(total(tables, 10_000)).isLessThanOrEqualTo(1_000.0001)
        }
    }

    // Guards against a new instance that uses a floor share before the others reduce theirs.
    @Test
    fun `a new instance gets no share until the others count it`() {
        val old = tables(3)
        exchange(old, listOf(0, 1, 2), 10_000) { 1.0 }
        val new = DemandTable(ids[3], 10_000).apply { onList(ids.toSet(), 10_000) }
        old.forEachIndexed { i, _ -> new.onRow(ids[i], demand(10_000, 1.0, counted = 3), 10_000) }
        expectThat(total(old + new, 10_100)).isLessThanOrEqualTo(1_000.0001)
        old.forEach { it.onList(ids.toSet(), 10_500) }
        exchange(old + new, listOf(0, 1, 2, 3), 10_600) { 1.0 }
        expectThat(new.shareOf(1_000.0, bakery, 10_700)).isGreaterThan(0.0)
        expectThat(total(old + new, 10_700)).isLessThanOrEqualTo(1_000.0001)
    }

    // Guards against an instance that uses outdated demand rows during and after a network partition.
    @Test
    fun `a partitioned instance falls back to its floor share and the total stays within the limit`() {
        val tables = tables(4)
        exchange(tables, listOf(0, 1, 2, 3), 10_000) { 1.0 }
        for (nowMs in 14_000L..30_000L step 1_000) {
            exchange(tables, listOf(1, 2, 3), nowMs) { 1.0 }
            expectThat(tables[0].shareOf(1_000.0, bakery, nowMs)).isEqualTo(125.0)
            expectThat(total(tables, nowMs)).isLessThanOrEqualTo(1_000.0001)
        }
        exchange(tables, listOf(0, 1, 2, 3), 31_000) { 1.0 }
        expectThat(total(tables, 31_000)).isLessThanOrEqualTo(1_000.0001)
    }

    // Guards against a floor share in addition to the whole limit, which the others split after the instance left the list.
    @Test
    fun `an instance that returns to the list gets no share until the others count it`() {
        val tables = tables(4)
        exchange(tables, listOf(0, 1, 2, 3), 10_000) { 1.0 }
        tables.drop(1).forEach { it.onList(ids.drop(1).toSet(), 11_000) }
        exchange(tables, listOf(1, 2, 3), 20_000) { 1.0 }
        tables[0].restart(20_000)
        expectThat(total(tables, 20_000)).isLessThanOrEqualTo(1_000.0001)
        tables.forEach { it.onList(ids.toSet(), 21_000) }
        exchange(tables, listOf(0, 1, 2, 3), 21_000) { 1.0 }
        expectThat(tables[0].shareOf(1_000.0, bakery, 21_000)).isGreaterThan(0.0)
        expectThat(total(tables, 21_000)).isLessThanOrEqualTo(1_000.0001)
    }

    // Guards against larger shares for the others while an instance that was removed from the list may still admit requests.
    @Test
    fun `a shrinking list takes effect only after a delay`() {
        val table = tables(4)[0]
        table.onList(ids.take(2).toSet(), 10_000)
        expectThat(table.countedInstances(13_900)).isEqualTo(4)
        expectThat(table.countedInstances(14_100)).isEqualTo(2)
    }

    // Guards against rows that contain every organisation, and against omitting one that needs more than its floor share.
    @Test
    fun `only organisations that need more than their floor share are published`() {
        val table = tables(4)[0]
        val limits = OrganisationLimits(table, 0) { 1_000.0 }
        repeat(30) {
            limits.charge(bakery, 200, isLongRead = false, nowMs = it * 1_000L)
            limits.charge(OrganisationId("clinic"), 10, isLongRead = false, nowMs = it * 1_000L)
            limits.measure("a", longReads = 0, nowMs = it * 1_000L + 999)
        }
        val demand = limits.measure("a", longReads = 0, nowMs = 30_000)
        expectThat(demand.workPerSecond.keys).isEqualTo(setOf(bakery))
        expectThat(demand.totalPerSecond).isGreaterThan(demand.workPerSecond.getValue(bakery))
    }
}
