package org.godwitwick.core.forward

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class PatienceRuleTest {
    private val rule = PatienceRule(stallMs = 1_500)

    private fun route(kind: RouteKind, maxRuns: Int) = ForwardRoute(
        name = "r",
        host = "h",
        pathPrefix = "/",
        kind = kind,
        timeoutMs = 10_000,
        targetMs = 300,
        gapTargetMs = 250,
        split = listOf(WeightedService("llm", 1.0)),
        maxRuns = maxRuns,
        isPublic = false,
    )

    private val resumable = route(RouteKind.Streaming(isResumable = true), maxRuns = 2)

    // The load pattern: short streams beside a very long read, which stalls them for more than a second. Callers leave after 2 s.
    @Test
    fun `a silent stream is continued elsewhere after the time of a stall and before its caller leaves`() {
        expectThat(rule.betweenEvents(resumable, earlierRuns = 0)).isNotNull().isGreaterThan(1_500).isLessThan(2_000)
        expectThat(rule.beforeFirstEvent(resumable, earlierRuns = 0)).isNotNull().isGreaterThan(1_500).isLessThan(2_000)
    }

    // Guards against streams that are cut off for silence although no other upstream may continue them.
    @Test
    fun `a stream on the last upstream that its route allows is never given up for silence`() {
        expectThat(rule.betweenEvents(resumable, earlierRuns = 1)).isNull()
        expectThat(rule.beforeFirstEvent(resumable, earlierRuns = 1)).isNull()
        expectThat(rule.betweenEvents(route(RouteKind.Streaming(isResumable = true), maxRuns = 1), earlierRuns = 0)).isNull()
    }

    @Test
    fun `a request that may run once is never given up for silence`() {
        listOf(RouteKind.Safe, RouteKind.Unsafe, RouteKind.Streaming(isResumable = false)).forEach { kind ->
            expectThat(rule.beforeFirstEvent(route(kind, maxRuns = 2), earlierRuns = 0)).isNull()
        }
    }
}
