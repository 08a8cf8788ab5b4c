package org.godwitwick.node.upstream

import com.github.michaelbull.result.get
import org.godwitwick.core.model.RequestId
import org.godwitwick.node.memory.BodyMemory
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Guards against a part of a service's answer that is recorded as the outcome of its call. */
@Timeout(60)
class ServiceClientTest {
    private val listener = ServerSocket().apply {
        // A small window, so that the client is still writing the body when the connection ends.
        receiveBufferSize = WINDOW_BYTES
        bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
    }
    private val reached = AtomicInteger()
    private val memory = BodyMemory(limitBytes = 64L shl 20) { 0 }
    private val client = ServiceClient(noRetryClientBuilder().build())

    @AfterEach
    fun close() = listener.close()

    private fun serve(answer: (Socket) -> Unit) = thread(isDaemon = true) {
        while (!listener.isClosed) {
            try {
                listener.accept().use { socket ->
                    val lines = generateSequence { readLine(socket) }
                    lines.takeWhile { it.isNotEmpty() }.last()
                    reached.incrementAndGet()
                    answer(socket)
                }
            } catch (_: IOException) {
                continue
            }
        }
    }

    private fun readLine(socket: Socket): String =
        generateSequence { socket.getInputStream().read().toChar() }.takeWhile { it != '\n' }.joinToString("").trimEnd('\r')

    private fun send(bodyBytes: Int): ServiceAnswer? {
        val call = ServiceCall(RequestId("id-1"), "POST", "/book", "", emptyList(), ByteArray(bodyBytes), memory.open())
        return client.sendOnce("127.0.0.1:${listener.localPort}", call, WriteGate(), TIMEOUT_MS).get()
    }

    @Test
    fun `an answer that is reset while the call is still written is no answer`() {
        serve { socket ->
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\npart".toByteArray())
            Thread.sleep(ARRIVAL_MS)
            socket.setSoLinger(true, 0)
        }
        expectThat(send(CALL_BYTES)).isNull()
        expectThat(reached.get()).isEqualTo(1)
    }

    @Test
    fun `an answer whose length cannot be read is no answer`() {
        serve { it.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 1O\r\n\r\npart".toByteArray()) }
        expectThat(send(0)).isNull()
        expectThat(reached.get()).isEqualTo(1)
    }

    private companion object {
        const val TIMEOUT_MS = 20_000L
        const val WINDOW_BYTES = 4 * 1024
        const val CALL_BYTES = 6 shl 20
        const val ARRIVAL_MS = 300L
    }
}
