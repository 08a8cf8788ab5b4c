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

/** Guards against KV memory that stays reserved after a group run (G2), and against groups that block each other. */
class GroupRunTest {
    @Test
    fun `a prompt over one engine's memory is answered as one engine would`() = withFleet { fleet ->
        val (texts, end) = fleet.path().generate.start(request(HUGE)).orFail().readAll()
        expectThat(texts).isEqualTo(expectedTokens(HUGE, 40))
        expectThat(end).isEqualTo(TokenEvent.Done(40))
        fleet.awaitFree()
    }

    @Test
    fun `two groups that need the same engines both end`() = withFleet(count = 2) { fleet ->
        val path = fleet.path()
        val answers = List(2) { number ->
            val prompt = HUGE + number
            prompt to CompletableFuture.supplyAsync { path.generate.start(request(prompt)).orFail().readAll() }
        }
        answers.forEach { (prompt, answer) -> expectThat(answer.get().first).isEqualTo(expectedTokens(prompt, 40)) }
        fleet.awaitFree()
    }

    @Test
    fun `a cancelled group leaves no hold even when the replies of its cancels are lost`() = withFleet { fleet ->
        fleet.engines.forEach { it.faults.dropsCancelReply = true }
        val path = fleet.path()
        val request = request(HUGE, maxTokens = 2_000)
        val stream = path.generate.start(request).orFail()
        stream.take(3)
        expectThat(path.generate.cancel(OrganisationId("another"), request.id)).isEqualTo(false)
        expectThat(path.generate.cancel(request.organisation, request.id)).isEqualTo(true)
        val end = stream.readAll().second
        expectThat(end).isA<TokenEvent.Failed>().get { failure.kind }.isEqualTo(ErrorKind.CANCELLED)
        fleet.awaitFree()
    }

    @Test
    fun `a group that meets its deadline during prefill leaves no hold`() = withFleet(tokensPerSecond = 2_000.0) { fleet ->
        val started = fleet.path().generate.start(request(HUGE, timeoutMs = 400))
        expectThat(started.component2()?.kind).isEqualTo(ErrorKind.DEADLINE_EXCEEDED)
        fleet.awaitFree()
    }

    @Test
    fun `a group of which one member refuses leaves no hold on the others`() = withFleet(count = 2) { fleet ->
        fleet.engines[1].faults.isOutOfMemory = true
        val started = fleet.path().generate.start(request(HUGE, timeoutMs = 400))
        expectThat(started.component2()?.kind).isEqualTo(ErrorKind.DEADLINE_EXCEEDED)
        fleet.awaitFree()
    }

    @Test
    fun `a group whose member restarts runs again and leaves no hold`() = withFleet { fleet ->
        val stream = fleet.path().generate.start(request(HUGE)).orFail()
        val before = stream.take(3)
        fleet.busy().single().resetStreams()
        fleet.engines.first { it.running == 0 && it.holds.isNotEmpty() }.restart()
        val (after, end) = stream.readAll()
        expectThat(before + after).isEqualTo(expectedTokens(HUGE, 40))
        expectThat(end).isA<TokenEvent.Done>()
        fleet.awaitFree()
    }

    @Test
    fun `holds of a killed owner are released by the watcher of another instance`() = withFleet(count = 1) { fleet ->
        val engines = EngineClient(client(1_000))
        val farMs = System.currentTimeMillis() + 600_000
        listOf("killed" to farMs, "expired" to 1_000L, "live" to farMs).forEach { (owner, expiresAtMs) ->
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
    fun `a long run of groups with faults gives back all memory`() = withFleet(count = 4) { fleet ->
        val path = fleet.path()
        val ends = (0 until 60).map { number ->
            val stream = path.generate.start(request(HUGE + number, maxTokens = 20)).component1() ?: return@map "not started"
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
        val HUGE = (0 until 12_000).joinToString("") { "line $it" }.take(100_000)
    }
}
