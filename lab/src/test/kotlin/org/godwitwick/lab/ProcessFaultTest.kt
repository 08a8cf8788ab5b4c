package org.godwitwick.lab

import org.godwitwick.lab.process.EntryProcess
import org.godwitwick.lab.process.LabClient
import org.godwitwick.lab.process.ProcessFleet
import org.godwitwick.lab.process.SmallFleet
import org.godwitwick.lab.process.StreamResult
import org.godwitwick.lab.process.await
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Tests faults of whole processes and of the connections between them. */
@Timeout(60)
class ProcessFaultTest {
    /** Guards against restarts that cut streams, a second signal that ends the process early, and a wrong exit code (G7). */
    @Test
    fun `SIGTERM during ten streams lets all of them complete and the process exits with 0`() = withFleet { fleet ->
        val entry = fleet.entry()
        val streaming = CountDownLatch(STREAMS)
        val streams = (1..STREAMS).map {
            CompletableFuture.supplyAsync({ stream(entry, 60) { streaming.countDown() } }, { Thread(it).start() })
        }
        expectThat(streaming.await(20, TimeUnit.SECONDS)).isTrue()
        entry.process.terminate()
        await("readiness fails") { LabClient.status(entry.address, "/readyz") == 503 }
        entry.process.terminate()
        expectThat(stream(entry, 1).isComplete).isTrue()
        await("new requests are refused") { stream(entry, 1).errorKind == "draining" }
        expectThat(streams.map { it.get() }).all { get { isComplete to tokens }.isEqualTo(true to 60) }
        expectThat(entry.process.awaitExit(20_000)).isEqualTo(0)
    }

    /** Guards against an instance that cannot serve without the other instances. */
    @Test
    fun `SIGKILL of one entry instance leaves the other serving`() = withFleet { fleet ->
        val killed = fleet.entry("entry-1")
        val other = fleet.entry("entry-2")
        expectThat(stream(killed, 400) { killed.process.kill() }.isComplete).isEqualTo(false)
        repeat(5) { expectThat(stream(other, 2).isComplete).isTrue() }
    }

    /** Guards against a request that hangs because its engine accepts connections but does not answer (G1). */
    @Test
    fun `a request to a frozen engine fails by its deadline`() = withFleet { fleet ->
        val entry = fleet.entry()
        expectThat(stream(entry, 2).isComplete).isTrue()
        fleet.engines.single().freeze()
        val result = LabClient.stream(entry.address, "a note", 2, timeoutMs = 2_000)
        expectThat(result.elapsedMs).isLessThan(2_000 + DEADLINE_SLACK_MS)
        expectThat(allowedErrors).contains(result.errorKind)
        fleet.engines.single().resume()
        await("the resumed engine serves") { stream(entry, 2).isComplete }
    }

    /** Guards against an open connection that stops delivering: its request hangs, or later requests are sent on it. */
    @Test
    fun `a request on a silent connection is resumed or fails and new requests succeed`() = withFleet { fleet ->
        val entry = fleet.entry()
        var silenced = 0
        val result = LabClient.stream(entry.address, "a note", 100, timeoutMs = 5_000) {
            silenced = fleet.forwarders.single().silenceOpenConnections()
        }
        expectThat(silenced).isGreaterThan(0)
        expectThat(result.elapsedMs).isLessThan(5_000 + DEADLINE_SLACK_MS)
        expectThat(result.isComplete || result.errorKind in allowedErrors).isTrue()
        repeat(3) { expectThat(stream(entry, 2).isComplete).isTrue() }
    }

    /**
     * Guards against a buffer that delays tokens until the answer is complete. The answer is shorter than 1 KB, the size of the
     * buffers of the server with a small heap: a longer answer passed this test even without any flush.
     */
    @Test
    fun `the first token reaches the caller before the engine has sent the last`() {
        val lastSentNanos = CompletableFuture<Long>()
        withFleet(400.0, { text, nanos -> if ("\"done\":true" in text) lastSentNanos.complete(nanos) }) { fleet ->
            val result = stream(fleet.entry(), 4)
            expectThat(result.isComplete).isTrue()
            expectThat(result.firstTokenNanos).isNotNull().isLessThan(lastSentNanos.get())
        }
    }

    /** Guards against keys, prompts and lines without a request id in the JSON log of a process. */
    @Test
    fun `the JSON log of a process contains request ids but no keys or prompts`() = withFleet { fleet ->
        val entry = fleet.entry(options = listOf("--log-format", "json"))
        val prompt = "a very private note"
        LabClient.stream(entry.address, prompt, 2)
        LabClient.stream(entry.address, prompt, 0)
        LabClient.stream(entry.address, prompt, 2, model = "unknown")
        LabClient.stream(entry.address, prompt, 2, key = "wrong-private-key")
        await("all ends are logged") { entry.process.log.lines().count { "http: request" in it } == 4 }
        val log = entry.process.log
        val lines = log.lines().filter { "http: request" in it }
        expectThat(lines).hasSize(4).all { contains("{\"request_id\":\"").contains("\"formattedMessage\"") }
        expectThat(listOf(prompt, "wrong-private-key", ProcessFleet.CALLER_KEY).filter { it in log }).isEmpty()
    }

    // Returns Unit because JUnit silently skips test methods that return a value.
    private fun withFleet(tokenGapMs: Double = 50.0, tap: (String, Long) -> Unit = { _, _ -> }, action: (SmallFleet) -> Unit) =
        SmallFleet(listOf(SmallFleet.engine("engine-1", tokenGapMs)), stallTimeoutMs = 1_000) { tap }.use(action)

    private fun stream(entry: EntryProcess, maxTokens: Int, onFirstToken: () -> Unit = {}): StreamResult =
        LabClient.stream(entry.address, "a note", maxTokens, onFirstToken = onFirstToken)

    private companion object {
        const val STREAMS = 10
        val allowedErrors = listOf("deadline_exceeded", "upstream_failed")

        // Tolerates a busy machine: the tests check only that a request does not hang.
        const val DEADLINE_SLACK_MS = 5_000L
    }
}
