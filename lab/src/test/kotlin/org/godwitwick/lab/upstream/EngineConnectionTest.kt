package org.godwitwick.lab.upstream

import com.github.michaelbull.result.getOrElse
import io.undertow.server.HttpServerExchange
import io.undertow.util.Headers
import org.godwitwick.core.error.Executed
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.ListedKind
import org.godwitwick.node.upstream.EngineClient
import org.godwitwick.node.upstream.EngineFailure
import org.godwitwick.node.upstream.EngineGateway
import org.godwitwick.node.upstream.EngineGenerate
import org.godwitwick.node.upstream.EngineStreamEvent
import org.godwitwick.node.upstream.HoldOwner
import org.godwitwick.node.upstream.UpstreamCounters
import org.godwitwick.node.upstream.roundRobinSelector
import org.godwitwick.standins.FakeServer
import org.godwitwick.standins.sendJson
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

/**
 * Guards against reused connections that deliver an answer to another request (G3). The engine is a socket with scripted
 * responses.
 */
class EngineConnectionTest {
    private val counters = UpstreamCounters()

    @Test
    fun `a connection with an unread answer is not reused`() = withEngine { address, connections ->
        val engines = EngineClient(client(1_000), counters)
        // The rest of the answer has already arrived, so that the connection looks reusable.
        engines.open(address, "abandoned").use { it.next() }
        val event = engines.open(address, "next").use { it.next() }
        expectThat(event).isEqualTo(EngineStreamEvent.Token(0, "of next"))
        expectThat(connections.size).isEqualTo(2)
    }

    @Test
    fun `a connection whose answer was read to its end is reused`() = withEngine { address, connections ->
        val engines = EngineClient(client(1_000), counters)
        repeat(2) { number ->
            engines.open(address, "whole$number").use { stream ->
                expectThat(stream.next()).isEqualTo(EngineStreamEvent.Token(0, "of whole$number"))
                expectThat(stream.next()).isEqualTo(EngineStreamEvent.Done(1))
            }
        }
        expectThat(connections.size).isEqualTo(1)
    }

    @Test
    fun `an extra answer that follows a complete one on its connection is delivered to no request`() = withEngine { address, _ ->
        val engines = EngineClient(client(1_000), counters)
        engines.open(address, "late").use { stream -> repeat(2) { stream.next() } }
        val result = engines.generate(address, message("next"), 1_000)
        val event = result.component1()?.use { it.next() }
        if (event is EngineStreamEvent.Failed) {
            expectThat(event.failure).isA<EngineFailure.ProtocolViolation>()
            expectThat(counters.wrongRequestIds.sum()).isGreaterThan(0)
        } else if (event != null) {
            expectThat(event).isEqualTo(EngineStreamEvent.Token(0, "of next"))
        }
    }

    /** Guards against retries by the HTTP library, which the retry budget does not count. */
    @Test
    fun `an engine that answers with status 503 and Retry-After 0 gets the request once`() {
        val calls = AtomicInteger()
        val answer = { exchange: HttpServerExchange ->
            calls.incrementAndGet()
            exchange.responseHeaders.put(Headers.RETRY_AFTER, "0")
            exchange.sendJson("{}", 503)
        }
        FakeServer(0, 2, answer).use { EngineClient(client(1_000), counters).generate(it.address, message("once"), 1_000) }
        expectThat(calls.get()).isEqualTo(1)
    }

    /**
     * Guards against reporting a request as not executed if a pooled connection broke after the request was written to it (G4).
     */
    @Test
    fun `a request lost on a reused connection is not reported as not executed`() = withEngine { address, connections ->
        val row = ListedInstance(InstanceId("e"), ListedKind.ENGINE, "menu", address, region = "r", dataCentre = "d")
        EngineGateway(client(500), {
            listOf(row)
        }, HoldOwner(InstanceId("entry-1"), "1")) { roundRobinSelector({ listOf(row) }, it) }.use {
            it.generate.start(request("whole", maxTokens = 1)).getOrElse { error("$it") }.readAll()
            val failure = it.generate.start(request("cut", maxTokens = 1)).component2()
            expectThat(failure?.ran).isEqualTo(Executed.UNKNOWN)
            expectThat(connections.size).isEqualTo(1)
        }
    }

    private fun EngineClient.open(address: String, id: String) = generate(address, message(id), 1_000).getOrElse { error("$it") }

    private fun message(id: String) = EngineGenerate(id, "menu", "note", 1, 0, deadlineAtMs = 0)

    private fun withEngine(action: (String, List<Socket>) -> Unit) {
        val connections = CopyOnWriteArrayList<Socket>()
        ServerSocket(0).use { server ->
            val acceptor = Thread {
                runCatching {
                    while (true) {
                        server.accept().also {
                            connections += it
                        }.let { Thread { runCatching { serve(it, server) } }.start() }
                    }
                }
            }
            acceptor.start()
            action("127.0.0.1:${server.localPort}", connections)
        }
        connections.forEach { it.close() }
    }

    private fun serve(socket: Socket, server: ServerSocket) {
        val input = socket.getInputStream().bufferedReader()
        while (true) {
            var length = 0
            var line = input.readLine() ?: return
            while (line.isNotEmpty()) {
                if (line.startsWith("Content-Length: ")) length = line.substringAfter(": ").toInt()
                line = input.readLine()
            }
            val body = CharArray(length).also { input.read(it) }.concatToString()
            if ("\"prompt\":\"cut\"" in body) {
                server.close()
                return socket.close()
            }
            answer(socket, body.substringAfter("\"request_id\":\"").substringBefore('"'))
        }
    }

    private fun answer(socket: Socket, id: String) {
        val head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        val token = chunk("""{"request_id":"$id","index":0,"token":"of $id"}""")
        val done = chunk("""{"request_id":"$id","done":true,"tokens":1}""") + "0\r\n\r\n"
        val late = chunk("""{"request_id":"another","index":0,"token":"of another"}""")
        val text = when (id) {
            "late" -> head + token + done + head + late + done
            else -> head + token + done
        }
        socket.getOutputStream().write(text.toByteArray())
    }

    private fun chunk(json: String): String = "data:$json\n\n".let { "${it.length.toString(16)}\r\n$it\r\n" }
}
