package org.godwitwick.core.health

import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.ListedKind
import org.godwitwick.core.model.ListedState
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import kotlin.random.Random

/** Guards against sending work to a leaving engine (G6). */
class LeavingEnginesTest {
    private val engine = InstanceId("engine-0")

    @Test
    fun `an engine stays leaving after a late report of the same incarnation until the next incarnation reports`() {
        val leavingEngines = LeavingEngines()
        leavingEngines.onLoad(engine, report("1", leaving = true))
        leavingEngines.onLoad(engine, report("1", leaving = false))
        expectThat(leavingEngines.isLeaving(engine)).isTrue()
        leavingEngines.onLoad(engine, report("2", leaving = false))
        expectThat(leavingEngines.isLeaving(engine)).isFalse()
    }

    @Test
    fun `no instance sends work later than 3 s after the list or a report first shows the engine as leaving`() {
        val delaysMs = (1..200).map { Simulation(Random(it)).lastDispatchDelayMs() }
        println(
            "FIGURE leaving engine, 200 simulated runs: largest delay ${delaysMs.max()} ms, mean ${delaysMs.average().toInt()} ms",
        )
        expectThat(delaysMs.count { it > 0 } > 100).isTrue()
        expectThat(delaysMs.max()).isLessThan(3_000)
    }

    /**
     * Simulates fourteen instances of a data centre. One polls the engine's load every second; all read the instance list and
     * push rows to three random peers every 500 ms. Each sends work to the engine every 10 ms unless it considers the engine
     * leaving.
     */
    private inner class Simulation(private val random: Random) {
        private val instances = List(INSTANCES) { LeavingEngines() }
        private val newest = arrayOfNulls<EngineLoadReport>(INSTANCES)
        private val phaseMs = List(INSTANCES) { random.nextLong(500) }
        private val leavingAtMs = 5_000 + random.nextLong(1_000)
        private val reportLagMs = random.nextLong(500)
        private val listLagMs = random.nextLong(10_000)

        fun lastDispatchDelayMs(): Long {
            val shownAtMs = leavingAtMs + minOf(reportLagMs, listLagMs)
            var lastMs = 0L
            for (nowMs in 0L..20_000L step 10) {
                instances.indices.forEach { advance(it, nowMs) }
                if (instances.any { !it.isLeaving(engine) }) lastMs = nowMs
            }
            return (lastMs - shownAtMs).coerceAtLeast(0)
        }

        private fun advance(instance: Int, nowMs: Long) {
            if ((nowMs + phaseMs[instance]) / 500 == (nowMs - 10 + phaseMs[instance]) / 500) return
            instances[instance].onList(listOf(row(nowMs >= leavingAtMs + listLagMs)))
            val isPollTurn = (nowMs + phaseMs[instance]) / 500 % 2 == 0L
            if (instance == 0 && isPollTurn) receive(0, report("1", nowMs >= leavingAtMs + reportLagMs))
            repeat(3) { newest[instance]?.let { report -> receive(random.nextInt(INSTANCES), report) } }
        }

        // A peer keeps a report that shows the engine as leaving, because rows are versioned by the instance that polls the
        // engine.
        private fun receive(instance: Int, report: EngineLoadReport) {
            if (newest[instance]?.leaving != true) newest[instance] = report
            instances[instance].onLoad(engine, report)
        }
    }

    private fun report(incarnation: String, leaving: Boolean) =
        EngineLoadReport(incarnation, kvCapacityTokens = 1, leaving = leaving)

    private fun row(isLeaving: Boolean) = ListedInstance(
        id = engine,
        kind = ListedKind.ENGINE,
        address = "",
        region = "",
        dataCentre = "",
        state = if (isLeaving) ListedState.LEAVING else ListedState.LIVE,
    )

    @Test
    fun `an engine counts as dead after a changed incarnation or two failed polls in a row`() {
        val (known, _) = ReplicaLiveness().onReport("1")
        expectThat(known.onReport("2").second).isEqualTo(LivenessChange.DIED)
        val (once, first) = known.onFailure()
        expectThat(first).isEqualTo(LivenessChange.NONE)
        expectThat(once.onFailure().second).isEqualTo(LivenessChange.DIED)
        expectThat(once.onReport("1").second).isEqualTo(LivenessChange.NONE)
    }

    private companion object {
        const val INSTANCES = 14
    }
}
