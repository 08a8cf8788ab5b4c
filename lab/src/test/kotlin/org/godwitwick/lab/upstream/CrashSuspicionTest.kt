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

/** Guards against one request that kills engine after engine, and against refusing the requests beside it. */
class CrashSuspicionTest {
    @Test
    fun `a crashing request kills at most two engines through two instances and innocents pass`() {
        EngineFleet(8) { FakeEngine(0, timeScale = 5.0) }.use { fleet ->
            fleet.engines.forEach { it.faults.crashMarker = MARKER }
            val paths = ArrayList<EngineGateway>()
            paths += fleet.path("entry-1", share = shareWith { paths.drop(1) })
            paths += fleet.path("entry-2", share = shareWith { paths.take(1) })
            // More requests than the retry budget needs to allow every innocent one its retries.
            val earlier = List(60) { run(paths[it % 2], request("earlier $it", maxTokens = 2)) }
            earlier.forEach { it.get() }
            val innocents = List(16) { it to run(paths[it % 2], request("innocent $it")) }
            await("innocents run") { fleet.engines.sumOf { it.running } >= 8 }
            // The caller sends its request again through both instances each time it fails.
            val kinds = List(6) { run(paths[it % 2], request(MARKER)).get().second?.kind }
            expectThat(fleet.engines.sumOf { it.deaths }).isLessThanOrEqualTo(2)
            expectThat(kinds.toSet()).isEqualTo(setOf(ErrorKind.REQUEST_QUARANTINED))
            innocents.forEach { (number, answer) ->
                expectThat(answer.get()).isEqualTo(expectedTokens("innocent $number", 40) to null)
            }
            println("FIGURE engines dead of a crashing request sent 6 times: ${fleet.engines.sumOf { it.deaths }}")
        }
    }

    @Test
    fun `copies of a crashing request sent at once through two instances kill at most two engines`() {
        EngineFleet(6) { FakeEngine(0, timeScale = 5.0) }.use { fleet ->
            fleet.engines.forEach { it.faults.crashMarker = MARKER }
            val paths = ArrayList<EngineGateway>()
            paths += fleet.path("entry-1", share = shareWith { paths.drop(1) })
            paths += fleet.path("entry-2", share = shareWith { paths.take(1) })
            val companions = List(12) { run(paths[it % 2], request("companion $it", maxTokens = 200)) }
            await("companions run") { fleet.engines.sumOf { it.running } == 12 }
            run(paths[0], request(MARKER)).get()
            List(4) { run(paths[it % 2], request(MARKER, timeoutMs = 5_000)) }.forEach { it.get() }
            expectThat(fleet.engines.sumOf { it.deaths }).isLessThanOrEqualTo(2)
            companions.forEach { it.get() }
        }
    }

    @Test
    fun `the loss of a rack brands no request`() {
        EngineFleet(6) { FakeEngine(0, timeScale = 5.0) }.use { fleet ->
            val path = fleet.path()
            List(40) { run(path, request("earlier $it", maxTokens = 2)) }.forEach { it.get() }
            val answers = List(6) { it to run(path, request("gig $it")) }
            await("all run") { fleet.engines.all { it.running == 1 } }
            fleet.engines.take(3).map { engine -> CompletableFuture.runAsync { engine.die() } }.forEach { it.get() }
            answers.forEach { (_, answer) -> answer.get() }
            path.watcher.poll()
            path.watcher.poll()
            // A request that the first death had made a suspect runs when it is sent again.
            answers.forEach { (number, _) ->
                expectThat(run(path, request("gig $number")).get().first).isEqualTo(expectedTokens("gig $number", 40))
            }
        }
    }

    private fun shareWith(others: () -> List<EngineGateway>) =
        SuspicionBroadcaster { rows: List<SuspicionRow> -> others().forEach { it.guard.onPush(rows) } }

    private fun run(path: EngineGateway, request: GenerateRequest): CompletableFuture<Pair<List<String>, Failure?>> =
        CompletableFuture.supplyAsync({
            path.generate.start(request).fold(
                { stream -> stream.readAll().let { (texts, end) -> texts to (end as? TokenEvent.Failed)?.failure } },
                { emptyList<String>() to it },
            )
        }, { Thread(it).start() })

    private companion object {
        const val MARKER = "the text that no engine survives"
    }
}
