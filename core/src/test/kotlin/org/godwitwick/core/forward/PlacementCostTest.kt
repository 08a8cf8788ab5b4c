package org.godwitwick.core.forward

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import kotlin.random.Random

class PlacementCostTest {
    private class CountedFleet(override val size: Int, private val workOf: (Int) -> UpstreamWork) : PlacementCandidates {
        override val shortStreams = size
        var viewsBuilt = 0

        override fun viewAt(index: Int): UpstreamView {
            viewsBuilt++
            return view("engine-$index", workOf(index))
        }
    }

    private val rule = PlacementRule(Random(1))
    private val pauses = PauseTargets(shortMs = 250.0, longMs = 800.0)

    private fun CountedFleet.place(promptTokens: Long): Placement? =
        rule.place(PlacementDemand(RequestSize(promptTokens, 700), targetMs = 2_500, pauses), engineProfile, this)

    // Guards against a cost of each request that grows with the fleet. Counts views, because times depend on the machine.
    @ParameterizedTest
    @ValueSource(ints = [1, 20, 128, 129, 1_000, 12_000])
    fun `a placement looks at a bounded number of upstreams`(upstreams: Int) {
        fun viewsOf(place: CountedFleet.() -> Placement?): Int {
            val fleet = CountedFleet(upstreams) { UpstreamWork(running = 1, shortStreams = 1) }
            fleet.place()
            return fleet.viewsBuilt
        }
        expectThat(viewsOf { place(promptTokens = 4_960) }).isEqualTo(minOf(upstreams, 3) * 2)
        expectThat(viewsOf { place(promptTokens = 45_000) }).isEqualTo(minOf(upstreams, 128))
        expectThat(viewsOf { place(promptTokens = 593_000) }).isLessThanOrEqualTo(128)
        expectThat(viewsOf { rule.place(this) }).isEqualTo(minOf(upstreams, 128))
    }

    // Guards against a fleet of which a part is ignored although it is small.
    @Test
    fun `in a fleet of 128 upstreams the only idle one is found`() {
        repeat(20) { idle ->
            val fleet = CountedFleet(128) { UpstreamWork(running = if (it == idle) 0 else 3) }
            expectThat(rule.place(fleet)?.upstream?.id?.value).isEqualTo("engine-$idle")
        }
    }

    // Load pattern: a burst of long prompts in a large fleet, in which few engines can take part in another one. Guards against a
    // rejection because the sample happens to contain too few of them.
    @Test
    fun `a prompt that needs several engines is placed although few engines of a large fleet can help`() {
        repeat(20) {
            val fleet = CountedFleet(12_000) { UpstreamWork(helping = if (it % 20 == 0) 0 else engineProfile.slots) }
            expectThat(fleet.place(promptTokens = 593_000)).isNotNull()
            expectThat(fleet.viewsBuilt).isLessThanOrEqualTo(1_024)
        }
    }

    @Test
    fun `distinct indices are a random order of all numbers`() {
        val orders = HashMap<List<Int>, Int>()
        val random = Random(1)
        repeat(2_400) {
            val indices = DistinctIndices(4, random)
            orders.merge(List(4) { indices.next() }, 1, Int::plus)
        }
        expectThat(orders.size).isEqualTo(24)
        expectThat(orders.values.max()).isLessThanOrEqualTo(150)
        val many = DistinctIndices(12_000, random)
        expectThat(List(12_000) { many.next() }.sorted()).isEqualTo((0..<12_000).toList())
    }

    @Test
    fun `the lowest costs are those that sorting gives, in the same order`() {
        val random = Random(1)
        repeat(100) {
            val costs = List(random.nextInt(1, 40)) { random.nextInt(10).toDouble() }
            val count = random.nextInt(1, 20)
            val lowest = LowestCosts(count).also { costs.forEachIndexed(it::offer) }
            expectThat(lowest.indices).isEqualTo(costs.indices.sortedBy { costs[it] }.take(count))
        }
    }
}
