package org.godwitwick.core.forward

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

class PrefillStartRuleTest {
    private val rule = PrefillStartRule()
    private val wait = CallerWait(sinceMs = 0, targetMs = 3_000, leavesAtMs = 12_000)

    private fun decide(partMs: Double, backlogMs: Double, nowMs: Long = 0) =
        rule.decide(wait, PrefillForecast(partMs, backlogMs), nowMs)

    @Test
    fun `on idle engines a prompt begins at once, even if it will be late`() {
        expectThat(decide(partMs = 300.0, backlogMs = 0.0)).isEqualTo(PrefillStart.Begin)
        expectThat(decide(partMs = 3_500.0, backlogMs = 0.0)).isEqualTo(PrefillStart.Begin)
    }

    // Load pattern: long prompts at almost three times their usual rate. Guards against a queue at the engines in which every
    // prompt waits for all earlier ones.
    @Test
    fun `a prompt waits while the engines have a backlog that is large for its target`() {
        expectThat(decide(partMs = 300.0, backlogMs = 2_000.0)).isEqualTo(PrefillStart.Wait)
    }

    // Load pattern: prompts of several hundred thousand tokens among usual ones, which they would delay by seconds.
    @Test
    fun `a shorter prompt overtakes a longer one`() {
        expectThat(decide(partMs = 150.0, backlogMs = 400.0)).isEqualTo(PrefillStart.Begin)
        expectThat(decide(partMs = 2_000.0, backlogMs = 400.0)).isEqualTo(PrefillStart.Wait)
    }

    @Test
    fun `a prompt that can only be late waits until the engines are almost idle`() {
        expectThat(decide(partMs = 300.0, backlogMs = 400.0, nowMs = 3_000)).isEqualTo(PrefillStart.Wait)
        expectThat(decide(partMs = 300.0, backlogMs = 50.0, nowMs = 3_000)).isEqualTo(PrefillStart.Begin)
    }

    // Guards against prompts that are overtaken until their callers leave.
    @Test
    fun `a late prompt begins before its caller leaves`() {
        expectThat(decide(partMs = 300.0, backlogMs = 1_000.0, nowMs = 9_500)).isEqualTo(PrefillStart.Begin)
    }

    @Test
    fun `a prompt that cannot be answered before its caller leaves is rejected at once`() {
        expectThat(decide(partMs = 300.0, backlogMs = 12_000.0)).isA<PrefillStart.Reject>()
            .get { retryAfterMs }.isGreaterThan(0)
        expectThat(decide(partMs = 13_000.0, backlogMs = 0.0)).isA<PrefillStart.Reject>()
    }
}
