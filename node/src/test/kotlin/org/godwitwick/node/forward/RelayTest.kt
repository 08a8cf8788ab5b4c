package org.godwitwick.node.forward

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CountDownLatch
import kotlin.random.Random

@Timeout(30)
class RelayTest {
    private val engine = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val closedPorts = List(4) { ServerSocket(0) }.onEach { it.close() }.map { "127.0.0.1:${it.localPort}" }
    private val asked = CountDownLatch(1)
    private val cutOff = CountDownLatch(1)
    private var engines = emptyList<String>()
    private val relay = Relay(
        others = { emptyMap() },
        upstreams = { mapOf("desk" to closedPorts, "llm" to engines).also { asked.countDown() } },
        connectTimeoutMs = 500,
        nowMs = { 0 },
        random = Random(1),
        onCutOff = cutOff::countDown,
    )

    @AfterEach
    fun close() {
        relay.close()
        engine.close()
    }

    // Guards against requests for a sound service that are refused, or go round among the instances, because all upstreams of another
    // service are down.
    @Test
    fun `the loss of all upstreams of one service is no cut`() {
        engines = listOf("127.0.0.1:${engine.localPort}")
        closedPorts.forEach(relay::onConnectFailed)
        asked.await()
        engine.accept().close()
        expectThat(relay.isCutOff).isFalse()
    }

    @Test
    fun `an instance that reaches an upstream of no service is cut off until one accepts a connection`() {
        engines = closedPorts.take(1)
        closedPorts.forEach(relay::onConnectFailed)
        cutOff.await()
        expectThat(relay.isCutOff).isTrue()
        engines = listOf("127.0.0.1:${engine.localPort}")
        relay.start()
        while (relay.isCutOff) Thread.sleep(POLL_MS)
    }

    private companion object {
        const val BACKLOG = 5
        const val POLL_MS = 10L
    }
}
