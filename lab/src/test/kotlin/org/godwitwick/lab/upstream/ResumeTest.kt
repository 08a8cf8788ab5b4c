package org.godwitwick.lab.upstream

import org.godwitwick.node.upstream.TokenEvent
import org.godwitwick.node.upstream.UpstreamCounters
import org.godwitwick.standins.engine.Crossing
import org.godwitwick.standins.engine.FakeEngine
import org.godwitwick.standins.engine.expectedTokens
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.util.concurrent.CompletableFuture

/** Guards against duplicate, missing or other requests' tokens when an engine fails during an answer (G3). */
class ResumeTest {
    @Test
    fun `a request whose engine dies resumes with the next token`() = resumesAfter { it.die() }

    @Test
    fun `a request whose engine restarts resumes with the next token`() = resumesAfter { it.restart() }

    @Test
    fun `a request whose connection is reset resumes with the next token`() = resumesAfter { it.resetStreams() }

    @Test
    fun `a request whose stream stops delivering resumes with the next token`() = resumesAfter { it.freezeStreams() }

    @Test
    fun `a request whose streams are reset twice resumes each time`() {
        EngineFleet(3).use { fleet ->
            val gateway = fleet.gateway()
            val companions = List(2) { gateway.generate.start(request("companion $it", maxTokens = 400)).orThrow() }
            val stream = gateway.generate.start(request(PROMPT, maxTokens = 60)).orThrow()
            val texts = stream.take(5).toMutableList()
            fleet.busy().first { it.running > 0 }.resetStreams()
            texts += stream.take(20)
            fleet.engines.forEach { it.resetStreams() }
            val (rest, end) = stream.readAll()
            expectThat(texts + rest).isEqualTo(expectedTokens(PROMPT, 60))
            expectThat(end).isEqualTo(TokenEvent.Done(60))
            companions.forEach { it.close() }
        }
    }

    @Test
    fun `events with another request's id are dropped and counted`() = dropsCrossed(Crossing.ID) { it.wrongRequestIds.sum() }

    @Test
    fun `events with a wrong index are dropped and counted`() = dropsCrossed(Crossing.INDEX) { it.wrongIndexes.sum() }

    @Test
    fun `callers get their own answers from an engine that swaps them`() {
        EngineFleet(2) { FakeEngine(0, timeScale = if (it == 0) 5.0 else 20.0) }.use { fleet ->
            fleet.engines[0].faults.crossing = Crossing.SWAP
            val gateway = fleet.gateway()
            val answers = List(8) { number ->
                CompletableFuture.supplyAsync { gateway.generate.start(request("prompt $number")).orThrow().readAll() }
            }.map { it.get() }
            expectThat(gateway.counters.wrongRequestIds.sum()).isGreaterThan(0)
            answers.forEachIndexed { number, (texts, end) ->
                val expected = expectedTokens("prompt $number", 40)
                // A request beyond the retry budget may fail, but never gets a token of another request.
                expectThat(texts).isEqualTo(expected.take(texts.size))
                if (end is TokenEvent.Done) expectThat(texts).isEqualTo(expected)
            }
        }
    }

    private fun resumesAfter(fault: (FakeEngine) -> Unit) {
        EngineFleet(3, stallMs = 300).use { fleet ->
            val gateway = fleet.gateway()
            // With other requests in flight, this one is not the only suspect if the engine dies.
            val companions = List(3) { gateway.generate.start(request("companion $it", maxTokens = 200)).orThrow() }
            val stream = gateway.generate.start(request(PROMPT)).orThrow()
            val before = stream.take(5)
            fault(fleet.engines.maxBy { it.running })
            val (after, end) = stream.readAll()
            expectThat(before + after).isEqualTo(expectedTokens(PROMPT, 40))
            expectThat(end).isEqualTo(TokenEvent.Done(40))
            expectThat(gateway.counters.retries.sum()).isEqualTo(1)
            companions.forEach { it.close() }
        }
    }

    private fun dropsCrossed(crossing: Crossing, count: (UpstreamCounters) -> Long) {
        EngineFleet(2).use { fleet ->
            fleet.engines[0].faults.crossing = crossing
            val gateway = fleet.gateway()
            // The round-robin selector starts both requests on the faulty engine.
            repeat(2) {
                val (texts, end) = gateway.generate.start(request(PROMPT)).orThrow().readAll()
                expectThat(texts).isEqualTo(expectedTokens(PROMPT, 40))
                expectThat(end).isA<TokenEvent.Done>()
            }
            expectThat(count(gateway.counters)).isEqualTo(2)
        }
    }

    private companion object {
        const val PROMPT = "two trays of harissa for the twelfth"
    }
}
