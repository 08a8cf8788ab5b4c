package org.godwitwick.lab.upstream

import com.github.michaelbull.result.fold
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.godwitwick.core.health.SuspicionRow
import org.godwitwick.core.model.GenerateRequest
import org.godwitwick.node.upstream.EngineGateway
import org.godwitwick.node.upstream.SuspicionBroadcaster
import org.godwitwick.node.upstream.TokenEvent
import org.godwitwick.standins.engine.FakeEngine
import org.godwitwick.standins.engine.expectedTokens
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.util.concurrent.CompletableFuture

/**
 * Guards against a request that crashes one engine after another, and against refusing other requests that ran on those engines.
 */
class CrashSuspicionTest {
    @Test
    fun `a crashing request sent through two instances kills at most two engines and other requests complete`() {
        EngineFleet(8) { FakeEngine(0, timeScale = 5.0) }.use { fleet ->
            fleet.engines.forEach { it.faults.crashMarker = MARKER }
            val gateways = ArrayList<EngineGateway>()
            gateways += fleet.gateway("entry-1", broadcaster = broadcasterTo { gateways.drop(1) })
            gateways += fleet.gateway("entry-2", broadcaster = broadcasterTo { gateways.take(1) })
            // Enough earlier requests for a retry budget that allows all retries of the other requests.
            val earlier = List(60) { run(gateways[it % 2], request("earlier $it", maxTokens = 2)) }
            earlier.forEach { it.get() }
            val otherRequests = List(16) { it to run(gateways[it % 2], request("innocent $it")) }
            await("8 requests run") { fleet.engines.sumOf { it.running } >= 8 }
            // The caller repeats its failed request, alternating between the instances.
            val kinds = List(6) { run(gateways[it % 2], request(MARKER)).get().second?.kind }
            expectThat(fleet.engines.sumOf { it.deaths }).isLessThanOrEqualTo(2)
            expectThat(kinds.toSet()).isEqualTo(setOf(ErrorKind.REQUEST_QUARANTINED))
            otherRequests.forEach { (number, answer) ->
                expectThat(answer.get()).isEqualTo(expectedTokens("innocent $number", 40) to null)
            }
            println("FIGURE engines dead of a crashing request sent 6 times: ${fleet.engines.sumOf { it.deaths }}")
        }
    }

    @Test
    fun `concurrent copies of a crashing request sent through two instances kill at most two engines`() {
        EngineFleet(6) { FakeEngine(0, timeScale = 5.0) }.use { fleet ->
            fleet.engines.forEach { it.faults.crashMarker = MARKER }
            val gateways = ArrayList<EngineGateway>()
            gateways += fleet.gateway("entry-1", broadcaster = broadcasterTo { gateways.drop(1) })
            gateways += fleet.gateway("entry-2", broadcaster = broadcasterTo { gateways.take(1) })
            val companions = List(12) { run(gateways[it % 2], request("companion $it", maxTokens = 200)) }
            await("12 companion requests run") { fleet.engines.sumOf { it.running } == 12 }
            run(gateways[0], request(MARKER)).get()
            List(4) { run(gateways[it % 2], request(MARKER, timeoutMs = 5_000)) }.forEach { it.get() }
            expectThat(fleet.engines.sumOf { it.deaths }).isLessThanOrEqualTo(2)
            companions.forEach { it.get() }
        }
    }

    @Test
    fun `the loss of several engines at once quarantines no request`() {
        EngineFleet(6) { FakeEngine(0, timeScale = 5.0) }.use { fleet ->
            val gateway = fleet.gateway()
            List(40) { run(gateway, request("earlier $it", maxTokens = 2)) }.forEach { it.get() }
            val answers = List(6) { it to run(gateway, request("gig $it")) }
            await("each engine runs a request") { fleet.engines.all { it.running == 1 } }
            fleet.engines.take(3).map { engine -> CompletableFuture.runAsync { engine.die() } }.forEach { it.get() }
            answers.forEach { (_, answer) -> answer.get() }
            gateway.watcher.poll()
            gateway.watcher.poll()
            // A request that became a suspect at the first crash is executed when it is sent again.
            answers.forEach { (number, _) ->
                expectThat(run(gateway, request("gig $number")).get().first).isEqualTo(expectedTokens("gig $number", 40))
            }
        }
    }

    private fun broadcasterTo(others: () -> List<EngineGateway>) =
        SuspicionBroadcaster { rows: List<SuspicionRow> -> others().forEach { it.guard.onPush(rows) } }

    private fun run(gateway: EngineGateway, request: GenerateRequest): CompletableFuture<Pair<List<String>, Failure?>> =
        CompletableFuture.supplyAsync({
            gateway.generate.start(request).fold(
                { stream -> stream.readAll().let { (texts, end) -> texts to (end as? TokenEvent.Failed)?.failure } },
                { emptyList<String>() to it },
            )
        }, { Thread(it).start() })

    private companion object {
        const val MARKER = "the text that no engine survives"
    }
}
