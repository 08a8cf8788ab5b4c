package org.godwitwick.core.forward

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class SilenceTimerTest {
    private val timer = SilenceTimer().apply { restart(limitMs = 1_600, nowMs = 0) }

    @Test
    fun `an upstream without a known prefill exceeds the limit after the limit`() {
        expectThat(timer.isExceeded(1_599, isPrefilling = { false })).isFalse()
        expectThat(timer.isExceeded(1_600, isPrefilling = { false })).isTrue()
    }

    // Load pattern: two prompts of 600,000 and 800,000 tokens within a second keep all engines busy for three seconds.
    @Test
    fun `a prefill of several seconds does not exceed the limit`() {
        (0L..3_000L step 50).forEach { expectThat(timer.isExceeded(it, isPrefilling = { true })).isFalse() }
        expectThat(timer.isExceeded(4_550, isPrefilling = { false })).isFalse()
    }

    // Guards against an engine that is lost during a prefill and never sends anything again.
    @Test
    fun `an upstream that stays silent after its prefill exceeds the limit`() {
        expectThat(timer.isExceeded(3_000, isPrefilling = { true })).isFalse()
        expectThat(timer.isExceeded(4_600, isPrefilling = { false })).isTrue()
    }

    @Test
    fun `without a limit or after a stop nothing is exceeded`() {
        timer.restart(limitMs = null, nowMs = 0)
        expectThat(timer.isExceeded(1_000_000, isPrefilling = { false })).isFalse()
        timer.restart(limitMs = 100, nowMs = 0)
        timer.stop()
        expectThat(timer.isExceeded(1_000_000, isPrefilling = { false })).isFalse()
    }
}
