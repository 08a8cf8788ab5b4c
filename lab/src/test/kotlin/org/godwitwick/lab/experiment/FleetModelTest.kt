package org.godwitwick.lab.experiment

import org.godwitwick.core.model.OrganisationId
import org.godwitwick.core.model.PromptClass
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull

class FleetModelTest {
    private val size = FleetSize(dataCentres = 1, replicasEach = 4, entriesEach = 2)

    private fun run(variant: Variant, arrivals: List<Arrival>, fault: ModelFault = ModelFault.NONE) =
        FleetModel(size, variant, arrivals, DURATION_MS, fault, seed = 1).run()

    private fun mix() = Workload(seed = 1, replicas = 4, load = 0.8, durationMs = DURATION_MS).arrivals()

    // Guards against results that depend on the machine or on the iteration order of hash maps.
    @Test
    fun `the same seed gives the same result`() {
        val results = List(2) { run(Variant.EXPECTED, mix()).map { listOf(it.ttftMs, it.endedAtMs) } }
        expectThat(results[0]).isEqualTo(results[1])
    }

    // Guards against requests that the model drops, which would make all results look better than they are.
    @Test
    fun `every request ends by its deadline when engines crash`() {
        for (variant in Variant.entries) {
            expectThat(run(variant, mix(), ModelFault.ENGINE_DIES)).all {
                get { end }.isNotNull()
                get { endedAtMs - arrival.atMs - arrival.timeoutMs }.isLessThan(1.0)
            }
        }
    }

    // Guards against coordinated omission: latency is measured from the intended arrival, so it includes the time in the queue.
    @Test
    fun `time to first token of simultaneous requests includes their queueing time`() {
        val burst = List(40) { Arrival(1_000.0, OrganisationId("o"), 4_000, 8, LongArray(0), 30_000) }
        val ttft = run(Variant.LEAST_OUTSTANDING, burst).map { it.ttftMs }.sorted()
        expectThat(ttft.last()).isGreaterThan(40 * 200.0 / 4)
    }

    // Guards against a policy that no longer protects short requests from long prefills.
    @Test
    fun `short requests get their first token sooner than with least outstanding`() {
        fun p95(variant: Variant) = Percentiles.of(
            run(variant, mix()).filter {
                it.arrival.promptClass == PromptClass.SHORT && !it.ttftMs.isNaN()
            }.map { it.ttftMs },
        )
        expectThat(p95(Variant.EXPECTED).p95Ms).isLessThan(p95(Variant.LEAST_OUTSTANDING).p95Ms / 3)
    }

    private companion object {
        const val DURATION_MS = 120_000.0
    }
}
