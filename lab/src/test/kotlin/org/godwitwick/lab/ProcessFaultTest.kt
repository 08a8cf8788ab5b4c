package org.godwitwick.lab

import org.godwitwick.lab.process.EntryProcess
import org.godwitwick.lab.process.LabClient
import org.godwitwick.lab.process.ProcessFleet
import org.godwitwick.lab.process.StreamResult
import org.godwitwick.lab.process.TcpForwarder
import org.godwitwick.lab.process.await
import org.godwitwick.node.settings.NodeSettings
import org.godwitwick.standins.run.EngineStandin
import org.godwitwick.standins.run.ListStandin
import org.godwitwick.standins.run.Location
import org.godwitwick.standins.run.LogStandin
import org.godwitwick.standins.run.listRow
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

/** Faults of whole processes and of connections between them. */
@Timeout(60)
class ProcessFaultTest {
    private val location = Location("tn-north", "tn-north-a")

    /** Guards against G7: a rolling restart that cuts streams, a wrong exit code, and a second signal that ends the process early. */
    @Test
    fun `SIGTERM during ten streams loses nothing and the process exits 0`() = withFleet { fleet ->
        val entry = fleet.entry(fleet.standins(engine))
        val streaming = CountDownLatch(STREAMS)
        val streams = (1..STREAMS).map {
            CompletableFuture.supplyAsync({ stream(entry, 60) { streaming.countDown() } }, { Thread(it).start() })
        }
        expectThat(streaming.await(20, TimeUnit.SECONDS)).isTrue()
        entry.process.terminate()
        await("readiness fails") { LabClient.status(entry.address, "/readyz") == 503 }
        entry.process.terminate()
        expectThat(stream(entry, 1).isComplete).isTrue()
        await("new requests are refused") { stream(entry, 1).events.any { "draining" in it } }
        expectThat(streams.map { it.get() }).all { get { isComplete to tokens }.isEqualTo(true to 60) }
        expectThat(entry.process.awaitExit(20_000)).isEqualTo(0)
    }

    /** Guards against an instance that others depend on. */
    @Test
    fun `SIGKILL of one entry instance leaves the other serving`() = withFleet { fleet ->
        val standins = fleet.standins(engine)
        val killed = fleet.entry(standins, "entry-1")
        val other = fleet.entry(standins, "entry-2")
        val broken = CompletableFuture.supplyAsync { stream(killed, 400) { killed.process.kill() } }
        expectThat(broken.get().isComplete).isEqualTo(false)
        repeat(5) { expectThat(stream(other, 2).isComplete).isTrue() }
    }

    /** Guards against G1: a request that hangs because its engine accepts connections and never answers. */
    @Test
    fun `a request to a frozen engine ends by its deadline with an error`() = withFleet { fleet ->
        val engineProcess = fleet.startStandins("engine", listOf(engine))
        val standins = fleet.standins()
        LabClient.putList(
            standins.getValue("list"),
            listOf(listRow("engine", "engine-1", "menu", engineProcess.addresses.getValue("engine-1"), location)),
        )
        val entry = fleet.entry(standins)
        expectThat(stream(entry, 2).isComplete).isTrue()
        engineProcess.process.freeze()
        val result = LabClient.stream(entry.address, "a note", 2, timeoutMs = 2_000)
        expectThat(result.elapsedMs).isLessThan(2_000 + DEADLINE_SLACK_MS)
        expectThat(honestError(result)).isTrue()
        engineProcess.process.wake()
        await("the woken engine serves") { stream(entry, 2).isComplete }
    }

    /** Guards against a connection that silently stops delivering: its request hangs, or later ones are sent on it. */
    @Test
    fun `a silent connection ends its request by resumption or error and new requests work`() = withFleet { fleet ->
        val engineAddress = fleet.startStandins("engine", listOf(engine)).addresses.getValue("engine-1")
        TcpForwarder(engineAddress).use { forwarder ->
            val standins = fleet.standins()
            LabClient.putList(
                standins.getValue("list"),
                listOf(listRow("engine", "engine-1", "menu", forwarder.address, location)),
            )
            val entry = fleet.entry(standins)
            var silenced = 0
            val result = LabClient.stream(entry.address, "a note", 100, timeoutMs = 5_000) {
                if (silenced == 0) silenced = forwarder.silencePresent()
            }
            expectThat(silenced).isGreaterThan(0)
            expectThat(result.elapsedMs).isLessThan(5_000 + DEADLINE_SLACK_MS)
            expectThat(result.isComplete || honestError(result)).isTrue()
            repeat(3) { expectThat(stream(entry, 2).isComplete).isTrue() }
        }
    }

    /**
     * Guards against a buffer on the way that holds tokens back until the answer is whole. The answer is shorter than 1 KB, the size of
     * the server's buffers with a small heap: a longer one passed this test without any flush.
     */
    @Test
    fun `the first token reaches the caller before the engine has sent the last`() = withFleet { fleet ->
        val engineAddress = fleet.startStandins("engine", listOf(engine.copy(tokenGapMs = 400.0))).addresses.getValue("engine-1")
        val lastSentNanos = CompletableFuture<Long>()
        val tap = { text: String, nanos: Long -> if ("\"done\":true" in text) lastSentNanos.complete(nanos) }
        TcpForwarder(engineAddress) { { text, nanos -> tap(text, nanos) } }.use { forwarder ->
            val standins = fleet.standins()
            LabClient.putList(
                standins.getValue("list"),
                listOf(listRow("engine", "engine-1", "menu", forwarder.address, location)),
            )
            val result = stream(fleet.entry(standins), 4)
            expectThat(result.isComplete).isTrue()
            expectThat(result.firstTokenNanos).isNotNull().isLessThan(lastSentNanos.get())
        }
    }

    /** Guards against keys, prompts and lines without a request id in the log of the real process, in JSON as operators collect it. */
    @Test
    fun `the JSON log of a process holds request ids and neither keys nor prompts`() = withFleet { fleet ->
        val entry = fleet.entry(fleet.standins(engine), options = listOf("--log-format", "json"))
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

    private val engine = EngineStandin("engine-1", "menu", location, tokenGapMs = 50.0)

    // A test method that returns a value would silently not be run.
    private fun withFleet(action: (ProcessFleet) -> Unit) = ProcessFleet().use(action)

    private fun ProcessFleet.standins(vararg engines: EngineStandin): Map<String, String> =
        startStandins("standins", listOf(ListStandin(), LogStandin()) + engines).addresses

    private fun ProcessFleet.entry(
        standins: Map<String, String>,
        id: String = "entry-1",
        options: List<String> = emptyList(),
    ): EntryProcess = startEntry(
        NodeSettings(
            instanceId = id,
            region = location.region,
            dataCentre = location.dataCentre,
            httpPort = 0,
            keysFile = "",
            logUrl = "http://${standins.getValue("log")}",
            instanceListUrl = "http://${standins.getValue("list")}",
            listPollMs = 100,
            drainNoticeMs = 1_000,
            stallTimeoutMs = 1_000,
        ),
        options,
    )

    private fun stream(entry: EntryProcess, maxTokens: Int, onToken: () -> Unit = {}): StreamResult {
        var isFirst = true
        return LabClient.stream(entry.address, "a note", maxTokens) {
            if (isFirst) onToken()
            isFirst = false
        }
    }

    private fun honestError(result: StreamResult): Boolean =
        !result.isComplete && result.events.last().let { "\"deadline_exceeded\"" in it || "\"upstream_failed\"" in it }

    private companion object {
        const val STREAMS = 10

        // The machine may be busy; the point is that a request does not hang.
        const val DEADLINE_SLACK_MS = 5_000L
    }
}
