package org.godwitwick.node.http

import org.http4k.core.Body
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isFalse
import java.io.IOException
import java.io.InputStream
import java.net.Socket
import java.net.SocketException

/** Answers whose body fails midway, on kept connections and on those that end with the answer. */
class CutAnswerTest {
    private class FailingBody(private val failure: () -> Throwable) : InputStream() {
        private var isRead = false

        override fun read(): Int = error("only reads into an array are supported")

        override fun read(target: ByteArray, offset: Int, length: Int): Int {
            if (isRead) throw failure()
            isRead = true
            val part = "part".toByteArray()
            part.copyInto(target, offset)
            return part.size
        }
    }

    private var server: AutoCloseable? = null

    @AfterEach
    fun close() {
        server?.close()
    }

    private fun start(isClosing: Boolean = false, answer: () -> Response): Int {
        val started = StreamingUndertow("127.0.0.1", 0, 4, isClosing = { isClosing })
            .toDisconnectAwareServer { _, caller -> answer().also { caller.onDisconnect { } } }
            .start()
        server = AutoCloseable { started.stop() }
        return started.port()
    }

    /** What a caller receives until the connection ends; [isReset] tells that it was reset and not closed. */
    private class Received(val text: String, val isReset: Boolean) {
        val head = text.substringBefore("\r\n\r\n").lowercase()

        // Without chunks or a length, an answer ends with its connection, so that a regular end makes it complete.
        val looksComplete: Boolean
            get() = when {
                "transfer-encoding: chunked" in head -> text.endsWith("0\r\n\r\n")
                "content-length" in head -> false
                else -> !isReset
            }
    }

    private fun receive(port: Int, request: String): Received = Socket("127.0.0.1", port).use { socket ->
        socket.soTimeout = TIMEOUT_MS
        socket.getOutputStream().write(request.toByteArray())
        val text = StringBuilder()
        val buffer = ByteArray(1_024)
        try {
            while (true) {
                val count = socket.getInputStream().read(buffer)
                if (count < 0) break
                text.append(buffer.decodeToString(0, count))
            }
            Received(text.toString(), isReset = false)
        } catch (_: SocketException) {
            Received(text.toString(), isReset = true)
        }
    }

    private fun failing(type: String?, failure: () -> Throwable = { IOException("cut off") }): Response {
        val response = Response(Status.OK).body(Body(FailingBody(failure)))
        return if (type == null) response else response.header("Content-Type", type)
    }

    // Guards against an answer that ends early and looks complete, because the end of the connection is the end of its body.
    @Test
    fun `an answer of unknown length that fails does not look complete on a connection that ends with it`() {
        for (type in listOf("text/event-stream", "text/event-stream; charset=utf-8", "Text/Event-Stream", "text/plain", null)) {
            val port = start { failing(type) }
            for (headers in listOf("", "Connection: close\r\n")) {
                val received = receive(port, "GET / HTTP/1.1\r\nHost: a\r\n$headers\r\n")
                expectThat(received.head).contains("200")
                expectThat(received.looksComplete).isFalse()
            }
            close()
            expectThat(receive(start(isClosing = true) { failing(type) }, REQUEST).looksComplete).isFalse()
            close()
        }
    }

    // Guards against the last chunk after a body that failed with another exception than an I/O error: Undertow ends the answer then.
    @Test
    fun `an answer that fails with an unexpected exception does not look complete`() {
        for (failure in listOf(IllegalStateException("closed"), AssertionError("unexpected"))) {
            val received = receive(start { failing("text/event-stream") { failure } }, REQUEST)
            expectThat(received.head).contains("chunked")
            expectThat(received.looksComplete).isFalse()
            close()
        }
    }

    // Guards against a regular end where there can be no chunks.
    @Test
    fun `an answer to HTTP 1_0 that fails ends with a reset`() {
        expectThat(receive(start { failing("text/plain") }, "GET / HTTP/1.0\r\n\r\n").looksComplete).isFalse()
    }

    private companion object {
        const val TIMEOUT_MS = 10_000
        const val REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
    }
}
