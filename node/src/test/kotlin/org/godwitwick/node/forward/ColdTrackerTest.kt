package org.godwitwick.node.forward

import org.godwitwick.core.forward.ColdBound
import org.godwitwick.core.forward.ColdStart
import org.godwitwick.core.forward.ForwardService
import org.godwitwick.core.forward.Helper
import org.godwitwick.core.forward.Placement
import org.godwitwick.core.forward.RoutingConfig
import org.godwitwick.core.forward.RoutingTable
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.UpstreamList
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.peer.StatementRow
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.single

/** Two instances that learn of cold upstreams and tell each other. */
class ColdTrackerTest {
    private var nowMs = 0L
    private val ids = listOf(InstanceId("entry-1"), InstanceId("entry-2"))
    private val told = ArrayList<StatementRow>()

    private inner class Instance(id: InstanceId, fleet: List<InstanceId> = ids, perSecond: Double? = 8.0) {
        val statements = UpstreamStatements(id, { fleet }, { nowMs }) { }
        val table = RoutingTable(
            RoutingConfig(
                1,
                emptyList(),
                listOf(
                    ForwardService(
                        "llm",
                        null,
                        perSecond?.let {
                            ColdStart(5_000, it)
                        },
                    ),
                ),
                null,
                null,
            ),
        )
        val tracker = ColdTracker(statements, ColdBound(), { table }, { nowMs }, told::add)
    }

    private fun engine(id: String, coldMs: Long? = null) =
        UpstreamEntry(InstanceId(id), "llm", "10.0.0.1:1", "dc", 8, isLeaving = false, startedAtMs = 1, coldRemainingMs = coldMs)

    private val upstream = engine("engine-1")

    // Guards against an upstream that only the instance that got its answer takes for cold, and against endless messages.
    @Test
    fun `what an answer states is told once and is in force at the others until its time is over`() {
        val first = Instance(ids[0])
        val second = Instance(ids[1])
        repeat(3) { first.tracker.onAnswer(upstream, UpstreamStatement(coldMs = 4_000)) }
        second.tracker.onRow(told.single())
        expectThat(told).single().get { coldPerS }.isEqualTo(8.0)
        expectThat(second.statements.unlimited(UpstreamList.of(listOf(upstream))).toList()).isEmpty()
        nowMs = 4_000
        expectThat(second.statements.unlimited(UpstreamList.of(listOf(upstream))).toList()).isEqualTo(listOf(upstream))
    }

    // Guards against an earlier version that takes the row for the end of a stated limit.
    @Test
    fun `a row that tells of a cold upstream repeats its stated limit`() {
        val first = Instance(ids[0])
        first.statements.onAnswer(upstream, UpstreamStatement(limitPerS = 2.0))
        nowMs = 100
        first.tracker.onAnswer(upstream, UpstreamStatement(limitPerS = 2.0, coldMs = 4_000))
        expectThat(told).single().get { limitPerS to ageMs }.isEqualTo(2.0 to 100L)
    }

    @Test
    fun `without a rate of the service, nothing is cold and nothing is told`() {
        val first = Instance(ids[0], perSecond = null)
        first.tracker.onAnswer(upstream, UpstreamStatement(coldMs = 4_000))
        first.tracker.onRegistered(listOf(engine("engine-1", coldMs = 4_000)), emptySet(), first.table)
        first.tracker.onRegistered(listOf(engine("engine-2")), setOf("dc"), first.table)
        expectThat(first.statements.limitedCount).isEqualTo(0)
        expectThat(told).isEmpty()
    }

    // Guards against a starting instance that sends before it knows which instances are the senders.
    @Test
    fun `an instance that does not know the fleet sends nothing to an upstream that the registrations state to be cold`() {
        val started = Instance(ids[0], fleet = emptyList())
        val cold = engine("engine-1", coldMs = 60_000)
        started.tracker.onRegistered(listOf(cold), emptySet(), started.table)
        nowMs = 30_000
        expectThat(started.statements.tryTake(cold)).isFalse()
        expectThat(started.statements.waitsMs(listOf(cold))).isEmpty()
    }

    // Guards against prompts whose parts all go to one cold helper at once.
    @Test
    fun `a cold helper is used no more often than a cold upstream`() {
        val first = Instance(ids[0], fleet = listOf(ids[0]))
        val cold = engine("engine-2", coldMs = 60_000)
        first.tracker.onRegistered(listOf(cold), emptySet(), first.table)
        nowMs = 10_000
        val placement = Placement(upstream, listOf(Helper(cold, 0)))
        expectThat(first.statements.tryTake(placement)).isEmpty()
        expectThat(first.statements.tryTake(placement)).isEqualTo(listOf(cold))
    }
}
