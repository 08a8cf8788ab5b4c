package org.godwitwick.node.forward

import com.sun.management.ThreadMXBean
import org.godwitwick.core.forward.CallerWait
import org.godwitwick.core.forward.EngineProfile
import org.godwitwick.core.forward.PauseTargets
import org.godwitwick.core.forward.PlacementRule
import org.godwitwick.core.forward.RequestSize
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.UpstreamList
import org.godwitwick.core.forward.UpstreamWork
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.peer.ForwardLoad
import org.godwitwick.node.peer.LoadScope
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo
import java.lang.management.ManagementFactory
import kotlin.random.Random

class WorkPlacerCostTest {
    private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
    private val self = InstanceId("entry-1")
    private val profile = EngineProfile(8, 382_500, 256.0, 0.0917, 48.0)

    private inner class Fleet(size: Int) {
        val entries = (1..size).map {
            UpstreamEntry(InstanceId("engine-$it"), "llm", "10.0.0.1:$it", "dc", 8, false, startedAtMs = 1)
        }
        private val upstreams = UpstreamList.of(entries)
        val loads = UpstreamLoads()
        val statements = UpstreamStatements(self, { listOf(self) }, { NOW_MS }, {})
        private val placer = WorkPlacer(PlacementRule(Random(1)), loads, peerLoadsOf(entries), { 2 })

        private fun peerLoadsOf(entries: List<UpstreamEntry>) = PeerLoads().apply {
            val work = entries.associate { ForwardLoad.keyOf(it.id) to UpstreamWork(10.0, 3, 2, 1, 5_000) }
            onReport(InstanceId("entry-2"), ForwardLoad.of(work, NOW_MS, 1, LoadScope.INSTANCE), NOW_MS)
        }

        fun place(tokens: Long): PlacementDecision {
            val wait = CallerWait(NOW_MS, 1_500, NOW_MS + 10_000)
            val demand = ForwardDemand(RequestSize(tokens, 900), wait, isStreaming = true, PauseTargets(200.0, 650.0))
            val open = statements.unlimited(statements.open(statements.present(upstreams)))
            return placer.place(demand, profile, open, NOW_MS)
        }

        fun allocatedBytes(tokens: Long): Long {
            repeat(100) { place(tokens) }
            val before = threads.currentThreadAllocatedBytes
            repeat(100) { place(tokens) }
            return (threads.currentThreadAllocatedBytes - before) / 100
        }
    }

    // Guards against lists and maps of the whole fleet that are built for each request. Memory is counted, because times depend on
    // the machine.
    @ParameterizedTest
    @ValueSource(longs = [4_960, 45_000, 300_000, 900_000])
    fun `a placement in a large fleet allocates no more memory than one in a small fleet`(tokens: Long) {
        val small = Fleet(128).apply { state() }.allocatedBytes(tokens)
        val large = Fleet(12_000).apply { state() }.allocatedBytes(tokens)
        expectThat(large).isLessThanOrEqualTo(small * 2 + 4_000)
    }

    // Some upstreams limit the fleet, one is leaving and one wants no requests for some time.
    private fun Fleet.state() = entries.take(5).forEachIndexed { i, entry ->
        statements.onAnswer(
            entry,
            UpstreamStatement(
                i.toDouble().takeIf { i in 1..3 },
                isLeaving = i == 4,
                waitMs = 500L.takeIf {
                    i ==
                        0
                },
            ),
        )
    }

    private companion object {
        const val NOW_MS = 10_000L
    }
}
