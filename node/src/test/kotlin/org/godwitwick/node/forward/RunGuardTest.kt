package org.godwitwick.node.forward

import okhttp3.OkHttpClient
import okhttp3.Request
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

class RunGuardTest {
    private class FakePolicy(var isPrefilling: Boolean = false, var retries: Int = 1) : SilencePolicy {
        override fun isPrefilling(nowMs: Long) = isPrefilling

        override fun reserveRetry(nowMs: Long) = retries-- > 0
    }

    private val call = OkHttpClient().newCall(Request.Builder().url("http://127.0.0.1:1/").build())
    private val guard = RunGuard(deadlineMs = 10_000)

    private fun attach(policy: SilencePolicy) = guard.attach(call, silenceLimitMs = 1_600, policy, nowMs = 0)

    // Load pattern: two very long prompts within a second, which all engines prefill for three seconds. Guards against streams
    // that are cancelled at working engines.
    @Test
    fun `a send to an engine that prefills is not cancelled for silence`() {
        attach(FakePolicy(isPrefilling = true))
        (0L..3_000L step 50).forEach(guard::check)
        expectThat(guard.cancelReason).isNull()
        expectThat(call.isCanceled()).isFalse()
    }

    @Test
    fun `a send to an engine without known prefill is cancelled after the limit`() {
        attach(FakePolicy())
        guard.check(1_650)
        expectThat(guard.cancelReason).isEqualTo(CancelReason.SILENCE)
        expectThat(call.isCanceled()).isTrue()
    }

    // Guards against a stream that is lost because it was cancelled while the retry budget was exhausted.
    @Test
    fun `a silent send is cancelled only once a retry is available`() {
        val policy = FakePolicy(retries = 0)
        attach(policy)
        guard.check(1_650)
        expectThat(guard.cancelReason).isNull()
        policy.retries = 1
        guard.check(1_700)
        expectThat(guard.cancelReason).isEqualTo(CancelReason.SILENCE)
    }

    @Test
    fun `a pause ends at once if the caller disconnects`() {
        expectThat(guard.pause(1)).isTrue()
        guard.onCallerDisconnect()
        expectThat(guard.pause(60_000)).isFalse()
    }
}
