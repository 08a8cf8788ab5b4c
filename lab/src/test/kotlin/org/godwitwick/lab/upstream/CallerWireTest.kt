package org.godwitwick.lab.upstream

import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.godwitwick.lab.process.await
import org.godwitwick.node.control.ControlThread
import org.godwitwick.node.entry.EntryNode
import org.godwitwick.node.security.KeyEntry
import org.godwitwick.node.security.sha256Hex
import org.godwitwick.node.settings.KeyFile
import org.godwitwick.node.settings.NodeSettings
import org.godwitwick.standins.engine.FakeEngine
import org.godwitwick.standins.list.FakeInstanceList
import org.godwitwick.standins.log.FakeLog
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.startsWith
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CountDownLatch

/** Checks the bytes of responses that a caller receives, over a plain socket. */
class CallerWireTest {
    /** Guards against a truncated response that a client takes for a complete one. */
    @Test
    fun `a response that fails after its first tokens has an error event and no last chunk`() = withNode { port, engine ->
        val answer = caller(port, maxTokens = 500, headers = "Connection: close\r\n").use { socket ->
            socket.readUntil("t3.") + run {
                engine.die()
                socket.readAll()
            }
        }
        expectThat(
            answer,
        ).contains("event: error").contains("\"ran\":\"unknown\"")
        expectThat("[DONE]" in answer).isFalse()
        expectThat("\r\n0\r\n" in answer).isFalse()
    }

    /** Ensures that the test of the truncated response does not pass for every response. */
    @Test
    fun `a complete response ends with the DONE event and the last chunk`() = withNode { port, _ ->
        val answer = caller(port, maxTokens = 5, headers = "Connection: close\r\n").use { it.readAll() }
        expectThat(answer).contains("data: [DONE]").endsWith("\r\n0\r\n\r\n")
    }

    /** Guards against an error that is reported only inside a stream with status 200. */
    @Test
    fun `a request that fails before its first token gets an HTTP error status`() = withNode { port, engine ->
        engine.faults.isOutOfMemory = true
        val answer = caller(port, maxTokens = 5, headers = "Connection: close\r\n").use { it.readAll() }
        expectThat(answer).startsWith("HTTP/1.1 503").contains("\"ran\":\"no\"")
    }

    /** Guards against engines that keep generating for a caller that has disconnected. */
    @Test
    fun `a request is cancelled at the engine when its caller disconnects`() = withNode { port, engine ->
        caller(port, maxTokens = 60_000).use { it.readUntil("t3.") }
        await("engine has no running request and no used memory") { engine.running == 0 && engine.kvUsedTokens == 0 }
    }

    /** Guards against a caller that stops reading and thereby occupies a thread and the engine's memory permanently (G1, G2). */
    @Test
    fun `a caller that reads nothing is disconnected and its request cancelled at the engine`() = withNode(timeScale = 2_000.0) {
            port,
            engine,
        ->
        caller(port, maxTokens = 65_536, receiveBufferBytes = 4_096).use {
            await("request runs on the engine") { engine.running == 1 }
            await("entry instance has no running request") { upstreamRunning() == 0 }
            await("engine has no used memory") { engine.kvUsedTokens == 0 }
        }
    }

    /** Guards against deadlines that are enforced only while the control thread runs (G1). */
    @Test
    fun `a request ends at its deadline while the control thread is blocked and the engine is silent`() = withNode {
            port,
            engine,
        ->
        val release = CountDownLatch(1)
        val field = EntryNode::class.java.getDeclaredField("control").apply { isAccessible = true }
        (field.get(node) as ControlThread).post { release.await() }
        engine.faults.isSilent = true
        val startedNs = System.nanoTime()
        val headers = "Request-Timeout-Ms: 700\r\nConnection: close\r\n"
        val answer = caller(port, maxTokens = 5, headers = headers).use { it.readAll() }
        val tookMs = (System.nanoTime() - startedNs) / 1_000_000
        release.countDown()
        expectThat(answer).startsWith("HTTP/1.1 504")
        expectThat(tookMs).isLessThan(1_700)
    }

    private lateinit var node: EntryNode

    private fun upstreamRunning(): Int = node.engineGateway.generate.running

    private fun withNode(timeScale: Double = 5.0, action: (Int, FakeEngine) -> Unit) {
        FakeEngine(0, timeScale = timeScale).use { engine ->
            FakeLog(0).use { log ->
                FakeInstanceList(0).use { list ->
                    list.set(listOf(engineRow(engine.address)))
                    EntryNode(
                        settings(list.address, log.address),
                        KeyFile(listOf(KeyEntry(sha256Hex("test-key"), "caterer"))),
                    ).use {
                        node = it
                        it.start()
                        await("entry instance is ready") { it.readiness.reasons.isEmpty() }
                        action(it.httpPort, engine)
                    }
                }
            }
        }
    }

    private fun caller(port: Int, maxTokens: Int, headers: String = "", receiveBufferBytes: Int = 65_536): Socket {
        val body = """{"model":"menu","prompt":"a note","max_tokens":$maxTokens,"stream":true}"""
        return Socket().apply {
            receiveBufferSize = receiveBufferBytes
            connect(InetSocketAddress("127.0.0.1", port))
            soTimeout = 10_000
            val head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer test-key\r\n$headers"
            getOutputStream().write("${head}Content-Length: ${body.length}\r\n\r\n$body".toByteArray())
        }
    }

    private fun Socket.readUntil(text: String): String {
        val seen = StringBuilder()
        while (text !in
            seen
        ) {
            seen.append(getInputStream().read().also { check(it >= 0) { "response ended before $text, got: $seen" } }.toChar())
        }
        return seen.toString()
    }

    private fun Socket.readAll(): String {
        val seen = StringBuilder()
        try {
            while (true) seen.append(getInputStream().read().takeIf { it >= 0 }?.toChar() ?: break)
        } catch (_: IOException) {
            // A connection reset ends the response, as a close does.
        }
        return seen.toString()
    }

    private fun engineRow(address: String) = buildJsonObject {
        put("id", "engine-1")
        put("kind", "engine")
        put("name", "menu")
        put("address", address)
        put("region", "tn-north")
        put("data_centre", "tn-north-a")
    }

    private fun settings(listAddress: String, logAddress: String) = NodeSettings(
        instanceId = "entry-1",
        region = "tn-north",
        dataCentre = "tn-north-a",
        httpPort = 0,
        keysFile = "keys.json",
        logUrl = "http://$logAddress",
        instanceListUrl = "http://$listAddress",
        stallTimeoutMs = 1_500,
    )
}
