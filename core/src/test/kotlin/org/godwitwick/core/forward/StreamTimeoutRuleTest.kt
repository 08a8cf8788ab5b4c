package org.godwitwick.core.forward

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class StreamTimeoutRuleTest {
    private val rule = StreamTimeoutRule(stallMs = 1_500)

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

    // Load pattern: short streams on an engine with a very long prefill, which stalls them for more than 1 s. Callers leave after
    // 2 s.
    @Test
    fun `the timeouts of a resumable stream lie between the longest stall and the time at which callers leave`() {
        expectThat(rule.eventGapTimeoutMs(resumable, earlierRuns = 0)).isNotNull().isGreaterThan(1_500).isLessThan(2_000)
        expectThat(rule.firstEventTimeoutMs(resumable, earlierRuns = 0)).isNotNull().isGreaterThan(1_500).isLessThan(2_000)
    }

    // Guards against streams that time out although no other upstream may continue them.
    @Test
    fun `a stream on the last upstream that its route allows has no timeout`() {
        expectThat(rule.eventGapTimeoutMs(resumable, earlierRuns = 1)).isNull()
        expectThat(rule.firstEventTimeoutMs(resumable, earlierRuns = 1)).isNull()
        expectThat(rule.eventGapTimeoutMs(route(RouteKind.Streaming(isResumable = true), maxRuns = 1), earlierRuns = 0)).isNull()
    }

    @Test
    fun `a request that is not a resumable stream has no timeout`() {
        listOf(RouteKind.Safe, RouteKind.Unsafe, RouteKind.Streaming(isResumable = false)).forEach { kind ->
            expectThat(rule.firstEventTimeoutMs(route(kind, maxRuns = 2), earlierRuns = 0)).isNull()
        }
    }
}
