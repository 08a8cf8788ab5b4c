package org.godwitwick.lab.upstream

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Executed
import org.godwitwick.core.error.Failure
import org.godwitwick.node.upstream.TokenEvent
import org.godwitwick.node.upstream.TokenStream
import org.godwitwick.standins.engine.FakeEngine
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/** Guards against requests that are still in progress after their deadline (G1). */
class DeadlineTest {
    @Test
    fun `a request on silent engines ends at its deadline`() =
        endsInTime(ErrorKind.DEADLINE_EXCEEDED, stallMs = 10_000) { fleet ->
            fleet.engines.forEach { it.faults.isSilent = true }
        }

    @Test
    fun `a request that is retried on one silent engine after another ends by its deadline`() =
        endsInTime(ErrorKind.DEADLINE_EXCEEDED, ErrorKind.UPSTREAM_FAILED, stallMs = 150) { fleet ->
            fleet.engines.forEach { it.faults.isSilent = true }
        }

    @Test
    fun `a request on dead engines fails before its deadline`() =
        // The pauses between its attempts add up to 1.3 s at most, so it ends well before a deadline of 5 s.
        // A request may be written to a pooled connection that is being closed; it then counts as possibly executed.
        endsInTime(
            ErrorKind.NO_UPSTREAM,
            ErrorKind.OVERLOADED,
            ErrorKind.UPSTREAM_FAILED,
            stallMs = 500,
            timeoutMs = 5_000,
        ) { fleet ->
            fleet.engines.forEach { it.die() }
        }

    @Test
    fun `a request that all engines refuse fails before its deadline`() =
        endsInTime(ErrorKind.OVERLOADED, ErrorKind.DEADLINE_EXCEEDED, stallMs = 500) { fleet ->
            fleet.engines.forEach { it.faults.isOutOfMemory = true }
        }

    @Test
    fun `a request whose prefill takes longer than its deadline is cancelled at the engine`() {
        EngineFleet(1) { FakeEngine(0, prefillTokensPerSecond = 100.0) }.use { fleet ->
            val (failure, tookMs) = outcome { fleet.gateway().generate.start(request("x".repeat(40_000), timeoutMs = 600)) }
            expectThat(failure.kind).isEqualTo(ErrorKind.DEADLINE_EXCEEDED)
            expectThat(tookMs).isLessThan(600 + SLACK_MS)
            fleet.awaitFree()
        }
    }

    private fun endsInTime(vararg kinds: ErrorKind, stallMs: Long, timeoutMs: Long = TIMEOUT_MS, fault: (EngineFleet) -> Unit) {
        EngineFleet(2, stallMs).use { fleet ->
            val gateway = fleet.gateway()
            fault(fleet)
            val (failure, tookMs) = outcome { gateway.generate.start(request("note", timeoutMs = timeoutMs)) }
            expectThat(kinds.toList()).contains(failure.kind)
            if (failure.kind == ErrorKind.UPSTREAM_FAILED) expectThat(failure.ran).isEqualTo(Executed.UNKNOWN)
            expectThat(tookMs).isLessThan(timeoutMs + SLACK_MS)
            expectThat(gateway.generate.running).isEqualTo(0)
        }
    }

    private fun outcome(start: () -> Result<TokenStream, Failure>): Pair<Failure, Long> {
        val startedNs = System.nanoTime()
        val failure = start().fold({ (it.readAll().second as TokenEvent.Failed).failure }, { it })
        return failure to (System.nanoTime() - startedNs) / 1_000_000
    }

    private companion object {
        const val TIMEOUT_MS = 1_000L

        // Allows for scheduling delays on a busy machine. Without a deadline the requests would take 10 s and more.
        const val SLACK_MS = 1_000L
    }
}
