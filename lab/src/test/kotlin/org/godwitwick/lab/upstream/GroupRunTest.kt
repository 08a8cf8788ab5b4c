package org.godwitwick.lab.upstream

import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.OrganisationId
import org.godwitwick.node.upstream.EngineClient
import org.godwitwick.node.upstream.EngineGateway
import org.godwitwick.node.upstream.EngineHold
import org.godwitwick.node.upstream.HoldOwner
import org.godwitwick.node.upstream.TokenEvent
import org.godwitwick.node.upstream.roundRobinSelector
import org.godwitwick.standins.engine.FakeEngine
import org.godwitwick.standins.engine.expectedTokens
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.util.concurrent.CompletableFuture

/**
 * Guards against KV cache that stays reserved after a request ran on a group of engines (G2), and against groups that block each
 * other.
 */
class GroupRunTest {
    @Test
    fun `a prompt that exceeds one engine's memory gets the same answer as from a single engine`() = withFleet { fleet ->
        val (texts, end) = fleet.gateway().generate.start(request(LONG_PROMPT)).orThrow().readAll()
        expectThat(texts).isEqualTo(expectedTokens(LONG_PROMPT, 40))
        expectThat(end).isEqualTo(TokenEvent.Done(40))
        fleet.awaitFree()
    }

    @Test
    fun `two groups that need the same engines both complete`() = withFleet(count = 2) { fleet ->
        val gateway = fleet.gateway()
        val answers = List(2) { number ->
            val prompt = LONG_PROMPT + number
            prompt to CompletableFuture.supplyAsync { gateway.generate.start(request(prompt)).orThrow().readAll() }
        }
        answers.forEach { (prompt, answer) -> expectThat(answer.get().first).isEqualTo(expectedTokens(prompt, 40)) }
        fleet.awaitFree()
    }

    @Test
    fun `a cancelled group leaves no hold even if the responses to its cancellations are lost`() = withFleet { fleet ->
        fleet.engines.forEach { it.faults.dropsCancelReply = true }
        val gateway = fleet.gateway()
        val request = request(LONG_PROMPT, maxTokens = 2_000)
        val stream = gateway.generate.start(request).orThrow()
        stream.take(3)
        expectThat(gateway.generate.cancel(OrganisationId("another"), request.id)).isEqualTo(false)
        expectThat(gateway.generate.cancel(request.organisation, request.id)).isEqualTo(true)
        val end = stream.readAll().second
        expectThat(end).isA<TokenEvent.Failed>().get { failure.kind }.isEqualTo(ErrorKind.CANCELLED)
        fleet.awaitFree()
    }

    // The prefill takes several times the deadline, so no stream can start before it.
    @Test
    fun `a group whose deadline passes during prefill leaves no hold`() = withFleet(tokensPerSecond = 200.0) { fleet ->
        val started = fleet.gateway().generate.start(request(LONG_PROMPT, timeoutMs = 400))
        expectThat(started.component2()?.kind).isEqualTo(ErrorKind.DEADLINE_EXCEEDED)
        fleet.awaitFree()
    }

    @Test
    fun `a group leaves no hold on its members if one of them refuses`() = withFleet(count = 2) { fleet ->
        fleet.engines[1].faults.isOutOfMemory = true
        val started = fleet.gateway().generate.start(request(LONG_PROMPT, timeoutMs = 400))
        expectThat(started.component2()?.kind).isEqualTo(ErrorKind.DEADLINE_EXCEEDED)
        fleet.awaitFree()
    }

    @Test
    fun `a group with a restarted member is run again and leaves no hold`() = withFleet { fleet ->
        val stream = fleet.gateway().generate.start(request(LONG_PROMPT)).orThrow()
        val before = stream.take(3)
        fleet.busy().single().resetStreams()
        fleet.engines.first { it.running == 0 && it.holds.isNotEmpty() }.restart()
        val (after, end) = stream.readAll()
        expectThat(before + after).isEqualTo(expectedTokens(LONG_PROMPT, 40))
        expectThat(end).isA<TokenEvent.Done>()
        fleet.awaitFree()
    }

    @Test
    fun `the watcher of another instance releases expired holds and those of a killed owner`() = withFleet(count = 1) { fleet ->
        val engines = EngineClient(client(1_000))
        val futureMs = System.currentTimeMillis() + 600_000
        listOf("killed" to futureMs, "expired" to 1_000L, "live" to futureMs).forEach { (owner, expiresAtMs) ->
            engines.reserve(fleet.engines[0].address, EngineHold("h-$owner", "r", owner, "1", expiresAtMs, 10), 1_000)
        }
        expectThat(fleet.engines[0].holds).hasSize(3)
        EngineGateway(
            client(1_000),
            { fleet.rows },
            HoldOwner(InstanceId("entry-2"), "1"),
            owners = { owner, _ -> owner.value == "killed" },
        ) { roundRobinSelector({ fleet.rows }, it) }.use { it.watcher.poll() }
        expectThat(fleet.engines[0].holds.map { it.id }).isEqualTo(listOf("h-live"))
    }

    @Test
    fun `a series of group runs with faults releases all memory`() = withFleet(count = 4) { fleet ->
        val gateway = fleet.gateway()
        val ends = (0 until 60).map { number ->
            val stream =
                gateway.generate.start(request(LONG_PROMPT + number, maxTokens = 20)).component1() ?: return@map "not started"
            when (number % 4) {
                0 -> stream.take(2).also { stream.close() }
                1 -> fleet.engines.forEach { it.resetStreams() }
                2 -> fleet.busy().firstOrNull()?.restart()
            }
            stream.readAll().second::class.simpleName
        }
        fleet.awaitFree()
        println("FIGURE group runs with faults: ${ends.groupingBy { it }.eachCount()}, used tokens after: 0")
        expectThat(ends.count { it == "Done" }).isGreaterThan(10)
    }

    private fun withFleet(count: Int = 4, tokensPerSecond: Double = 200_000.0, action: (EngineFleet) -> Unit) {
        val fleet = EngineFleet(count) {
            FakeEngine(0, prefillTokensPerSecond = tokensPerSecond, timeScale = 20.0, kvCapacityTokens = 20_000)
        }
        fleet.use(action)
    }

    private companion object {
        val LONG_PROMPT = (0 until 12_000).joinToString("") { "line $it" }.take(100_000)
    }
}
