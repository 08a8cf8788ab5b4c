package org.godwitwick.node.http

import org.http4k.core.Body
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import java.io.IOException
import java.io.InputStream
import java.io.SequenceInputStream
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

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

    private class EndlessBody(private val isClosed: CountDownLatch) : InputStream() {
        override fun read(): Int = 'x'.code

        override fun close() = isClosed.countDown()
    }

    /** One byte, and nothing else before [end]. */
    private class WaitingBody(private val end: CountDownLatch) : InputStream() {
        private var isRead = false

        override fun read(): Int = error("only reads into an array are supported")

        override fun read(target: ByteArray, offset: Int, length: Int): Int {
            if (isRead) {
                end.await()
                return -1
            }
            isRead = true
            target[offset] = 'x'.code.toByte()
            return 1
        }
    }

    private var server: AutoCloseable? = null

    @AfterEach
    fun close() {
        server?.close()
    }

    private fun start(isClosing: Boolean = false, writeTimeoutMs: Long = 10_000, answer: () -> Response): Int {
        val started = StreamingUndertow("127.0.0.1", 0, 4, isClosing = { isClosing }, writeTimeoutMs = writeTimeoutMs)
            .toDisconnectAwareServer { _, caller -> answer().also { caller.onDisconnect { } } }
            .start()
        server = AutoCloseable { started.stop() }
        return started.port()
    }

    /** What a caller receives until the connection ends; [isReset] tells that it was reset and not closed. */
    private class Received(val text: String, val isReset: Boolean) {
        val head = text.substringBefore("\r\n\r\n").lowercase()

        // Without chunks or a length, an answer ends with its connection, so that a regular end makes it complete if it has a head.
        val looksComplete: Boolean
            get() = when {
                "\r\n\r\n" !in text -> false
                "transfer-encoding: chunked" in head -> text.endsWith("0\r\n\r\n")
                "content-length: " in head -> text.substringAfter("\r\n\r\n").length >= lengthIn(head)
                else -> !isReset
            }

        private fun lengthIn(head: String) = head.substringAfter("content-length: ").substringBefore("\r\n").toInt()
    }

    private fun receive(port: Int, request: String): Received = open(port, request).use(::receive)

    private fun open(port: Int, request: String) = Socket("127.0.0.1", port).also { socket ->
        socket.soTimeout = TIMEOUT_MS
        socket.getOutputStream().write(request.toByteArray())
    }

    private fun receive(socket: Socket): Received {
        val text = StringBuilder()
        val buffer = ByteArray(1_024)
        try {
            while (true) {
                val count = socket.getInputStream().read(buffer)
                if (count < 0) break
                text.append(buffer.decodeToString(0, count))
            }
            return Received(text.toString(), isReset = false)
        } catch (_: SocketException) {
            return Received(text.toString(), isReset = true)
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

    // Guards against a regular end after an error that Undertow handles, and against a worker thread that is lost with it.
    @Test
    fun `an answer that fails because the heap is full does not look complete, and the server goes on`() {
        for (length in listOf(null, PART_BYTES * 2L)) {
            for (request in listOf(REQUEST, HTTP10_REQUEST, HTTP10_KEPT_REQUEST)) {
                var isFailing = true
                val port = start {
                    val body = if (isFailing) FailingBody { OutOfMemoryError("test") } else "whole".byteInputStream()
                    Response(Status.OK).body(Body(body, length.takeIf { isFailing }))
                }
                repeat(REPEATS) {
                    val received = receive(port, request)
                    expectThat(received.head).contains("200")
                    expectThat(received.looksComplete).isFalse()
                }
                isFailing = false
                expectThat(receive(port, HTTP10_REQUEST).looksComplete).isTrue()
                close()
            }
        }
    }

    // Guards against an answer that ends before the length in its head, followed by the next answer on the same connection.
    @Test
    fun `an answer that is shorter than its length does not look complete`() {
        for (request in listOf(REQUEST + REQUEST, HTTP10_REQUEST, HTTP10_KEPT_REQUEST)) {
            val port = start { Response(Status.OK).body(Body("part".byteInputStream(), PART_BYTES * 2L)) }
            val received = receive(port, request)
            expectThat(received.looksComplete).isFalse()
            expectThat(Regex("HTTP/1.. 200").findAll(received.text).count()).isLessThan(2)
            close()
        }
    }

    // Guards against a connection that stays open after its answer was broken off, so that the caller waits for more.
    @Test
    fun `an answer to HTTP 1_0 whose caller does not read in time ends with a reset`() {
        val isClosed = CountDownLatch(1)
        val port = start(writeTimeoutMs = 200) { Response(Status.OK).body(Body(EndlessBody(isClosed))) }
        open(port, HTTP10_REQUEST).use { socket ->
            expectThat(isClosed.await(TIMEOUT_MS.toLong(), TimeUnit.MILLISECONDS)).isTrue()
            expectThat(receive(socket).isReset).isTrue()
        }
    }

    // Guards against a reset that discards the unsent end of a whole answer.
    @Test
    fun `a whole answer to HTTP 1_0 arrives completely although its caller reads late, has sent more or has half-closed`() {
        for (more in listOf("", "\r\n", HTTP10_REQUEST)) {
            for (isHalfClosed in listOf(false, true)) {
                val end = CountDownLatch(1)
                val port = start {
                    Response(Status.OK).body(Body(SequenceInputStream(WaitingBody(end), ByteArray(LARGE_BYTES).inputStream())))
                }
                open(port, HTTP10_REQUEST + more).use { socket ->
                    expectThat(socket.getInputStream().read()).isEqualTo('H'.code)
                    if (isHalfClosed) socket.shutdownOutput()
                    end.countDown()
                    // The caller reads late; the server doesn't see when it does.
                    Thread.sleep(PAUSE_MS)
                    val received = receive(socket)
                    expectThat(received.isReset).isFalse()
                    expectThat(received.text.substringAfter("\r\n\r\n").length).isEqualTo(LARGE_BYTES + 1)
                }
                close()
            }
        }
    }

    // Guards against a reset by the kernel for bytes that nobody reads, which discards the unsent end of a whole answer.
    @Test
    fun `a whole answer on a connection that ends with it arrives completely although its caller sends more meanwhile`() {
        for (request in listOf(HTTP10_REQUEST, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")) {
            for (late in listOf("\r\n", REQUEST.repeat(LATE_REQUESTS))) {
                val end = CountDownLatch(1)
                val port = start {
                    Response(Status.OK).body(Body(SequenceInputStream(WaitingBody(end), ByteArray(LARGE_BYTES).inputStream())))
                }
                open(port, request).use { socket ->
                    expectThat(socket.getInputStream().read()).isEqualTo('H'.code)
                    end.countDown()
                    repeat(2) {
                        // The caller sends before and after the last byte of the answer has been handed to the kernel.
                        Thread.sleep(PAUSE_MS)
                        socket.getOutputStream().write(late.toByteArray())
                    }
                    Thread.sleep(PAUSE_MS)
                    val received = receive(socket)
                    expectThat(received.isReset).isFalse()
                    expectThat(received.text.count { it == '\u0000' }).isEqualTo(LARGE_BYTES)
                }
                close()
            }
        }
    }

    // Guards against a caller that keeps its connection open after its last answer by sending without end.
    @Test
    fun `a caller that goes on sending after its last answer is disconnected`() {
        val port = start { Response(Status.OK).body("whole") }
        open(port, HTTP10_REQUEST).use { socket ->
            expectThrows<IOException> { repeat(ENDLESS_PARTS) { socket.getOutputStream().write(ByteArray(LARGE_BYTES)) } }
        }
    }

    // Guards against a caller that keeps its connection open after its last answer by sending slowly, or by not closing it.
    @Test
    fun `a caller that does not close its connection after its last answer is disconnected in time`() {
        val port = start(writeTimeoutMs = 600) { Response(Status.OK).body("whole") }
        open(port, HTTP10_REQUEST).use { socket ->
            expectThat(receive(socket).text).contains("whole")
            expectThrows<IOException> {
                repeat(ENDLESS_PARTS) {
                    socket.getOutputStream().write(0)
                    Thread.sleep(PAUSE_MS)
                }
            }
        }
    }

    // Guards against the loss of what was sent of an answer before it failed: a caller may take that for an unread request.
    @Test
    fun `the part of an answer that is shorter than its length arrives, also if the caller has pipelined a request`() {
        for (request in listOf(REQUEST, REQUEST + REQUEST)) {
            val port = start { Response(Status.OK).body(Body("part".byteInputStream(), PART_BYTES * 2L)) }
            val received = receive(port, request)
            expectThat(received.head).contains("content-length: ${PART_BYTES * 2}")
            expectThat(received.text.substringAfter("\r\n\r\n")).isEqualTo("part")
            close()
        }
    }

    private companion object {
        const val TIMEOUT_MS = 10_000
        const val REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        const val HTTP10_REQUEST = "GET / HTTP/1.0\r\n\r\n"
        const val HTTP10_KEPT_REQUEST = "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
        const val PART_BYTES = 4
        const val REPEATS = 8
        const val PAUSE_MS = 100L
        const val LARGE_BYTES = 1_500_000

        /** Less than the limit up to which bytes after the last request of a connection are read. */
        const val LATE_REQUESTS = 1_000
        const val ENDLESS_PARTS = 200
    }
}
