package org.godwitwick.node.forward

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

/** What one instance remembers of the statements of upstreams, while their registrations come and go. */
class UpstreamStatementsTest {
    private var nowMs = 0L
    private val told = ArrayList<StatementRow>()
    private val self = InstanceId("entry-1")
    private val statements = UpstreamStatements(self, { listOf(self, InstanceId("entry-2")) }, { nowMs }, told::add)
    private val upstream = UpstreamEntry(InstanceId("engine-1"), "llm", "10.0.0.1:1", "dc", 8, isLeaving = false, startedAtMs = 1)

    // Guards against requests to a leaving upstream whose registration lapsed with the store and came back.
    @Test
    fun `an upstream whose registration lapses and returns is still leaving`() {
        statements.onAnswer(upstream, UpstreamStatement(isLeaving = true))
        statements.retain(emptyList())
        nowMs += 5_000
        statements.retain(listOf(upstream))
        expectThat(statements.present(UpstreamList.of(listOf(upstream)))).isEmpty()
    }

    // Guards against a limit that is lost in the same way, so that the whole fleet sends again.
    @Test
    fun `an upstream whose registration lapses and returns is still limited`() {
        statements.onAnswer(upstream, UpstreamStatement(limitPerS = 1.0))
        statements.retain(emptyList())
        nowMs += 1
        statements.retain(listOf(upstream))
        expectThat(statements.tryTake(upstream)).isFalse()
    }

    // Guards against a memory that grows with every process that ever left.
    @Test
    fun `a process that is not registered for minutes is forgotten`() {
        statements.onAnswer(upstream, UpstreamStatement(isLeaving = true, limitPerS = 1.0))
        statements.retain(emptyList())
        nowMs += 600_000
        statements.retain(emptyList())
        expectThat(statements.leavingCount).isEqualTo(0)
        expectThat(statements.limitedCount).isEqualTo(0)
    }

    @Test
    fun `other instances are told once that an upstream is leaving`() {
        repeat(3) { statements.onAnswer(upstream, UpstreamStatement(isLeaving = true)) }
        statements.onRow(StatementRow(upstream.processKey, limitPerS = null, ageMs = 0, isLeaving = true))
        expectThat(told).single().get { isLeaving }.isEqualTo(true)
    }
}
