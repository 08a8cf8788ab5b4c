package org.godwitwick.node.http

import org.http4k.core.Body
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.io.InputStream
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

class CallerMonitorTest {
    private val release = CountDownLatch(1)

    /** Delivers two bytes, and the end of the stream only after [release]. */
    private inner class LateEndBody : InputStream() {
        private var isRead = false

        override fun read(): Int = error("only reads into an array are supported")

        override fun read(target: ByteArray, offset: Int, length: Int): Int {
            if (isRead) {
                release.await(WAIT_S, TimeUnit.SECONDS)
                return -1
            }
            isRead = true
            target.fill('x'.code.toByte(), offset, offset + 2)
            return 2
        }
    }

    private fun Socket.post(path: String, body: String): String {
        getOutputStream().write("POST $path HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n".toByteArray())
        // Slow enough for the monitor to run several times while the body arrives.
        body.forEach {
            getOutputStream().write(it.code)
            TimeUnit.MILLISECONDS.sleep(40)
        }
        generateSequence { readLine() }.takeWhile { it.isNotEmpty() }.toList()
        return getInputStream().readNBytes(2).decodeToString()
    }

    private fun Socket.readLine() = generateSequence { getInputStream().read().takeIf { it >= 0 }?.toChar() }
        .takeWhile { it != '\n' }.joinToString("").trimEnd('\r')

    // Guards against a monitor that consumes bytes of the next request while the handler is still ending the previous answer.
    @Test
    fun `a request on a keep-alive connection arrives complete while the handler of the previous request is still running`() {
        val server = StreamingUndertow("127.0.0.1", 0, 4).toDisconnectAwareServer { request, caller ->
            caller.onDisconnect { }
            val isComplete = request.body.stream.readAllBytes().decodeToString() == BODY
            val body = if (request.uri.path == "/first") LateEndBody() else (if (isComplete) "ok" else "no").byteInputStream()
            Response(Status.OK).header("Content-Length", "2").body(Body(body, null))
        }
        server.start()
        try {
            Socket("127.0.0.1", server.port()).use { caller ->
                caller.soTimeout = (WAIT_S * 1_000).toInt() / 2
                caller.post("/first", "")
                expectThat(caller.post("/next", BODY)).isEqualTo("ok")
            }
        } finally {
            release.countDown()
            server.stop()
        }
    }

    // Guards against bytes that arrive later in front of earlier ones: a caller then gets the answer to another request, and a part of a
    // body runs as a request that nobody sent.
    @Test
    fun `pipelined requests are answered in their order, also if a part of one arrives during the answer to an earlier one`() {
        val server = StreamingUndertow("127.0.0.1", 0, 4).toDisconnectAwareServer { request, caller ->
            caller.onDisconnect { }
            val body = request.body.stream.readAllBytes().decodeToString()
            if (request.uri.path == "/first") release.await(WAIT_S, TimeUnit.SECONDS)
            val text = "${request.uri.path} $body"
            Response(Status.OK).header("Content-Length", text.length.toString()).body(Body(text.byteInputStream(), null))
        }
        server.start()
        try {
            Socket("127.0.0.1", server.port()).use { caller ->
                caller.soTimeout = (WAIT_S * 1_000).toInt() / 2
                val out = caller.getOutputStream()
                val part = "POST /part HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
                val second = "POST /second HTTP/1.1\r\nHost: a\r\nContent-Length: ${part.length + 2}\r\n\r\n1-"
                out.write(("GET /first HTTP/1.1\r\nHost: a\r\n\r\n$second").toByteArray())
                // The monitor runs several times before the rest arrives, and after it.
                TimeUnit.MILLISECONDS.sleep(400)
                out.write(part.toByteArray())
                out.write("GET /third HTTP/1.1\r\nHost: a\r\n\r\n".toByteArray())
                TimeUnit.MILLISECONDS.sleep(400)
                release.countDown()
                expectThat(List(3) { caller.readAnswer() }).isEqualTo(listOf("/first ", "/second 1-$part", "/third "))
            }
        } finally {
            release.countDown()
            server.stop()
        }
    }

    // Guards against work that goes on for a caller that has sent its next request before it left.
    @Test
    fun `a caller that has pipelined a request and leaves is noticed during the answer to the first one`() {
        val isNoticed = CountDownLatch(1)
        val server = StreamingUndertow("127.0.0.1", 0, 4).toDisconnectAwareServer { _, caller ->
            caller.onDisconnect { isNoticed.countDown() }
            isNoticed.await(WAIT_S, TimeUnit.SECONDS)
            Response(Status.OK).header("Content-Length", "0")
        }
        server.start()
        try {
            Socket("127.0.0.1", server.port()).use { caller ->
                caller.getOutputStream().write("GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHo".toByteArray())
                TimeUnit.MILLISECONDS.sleep(400)
                caller.getOutputStream().write("st: a\r\n\r\n".toByteArray())
                TimeUnit.MILLISECONDS.sleep(400)
            }
            expectThat(isNoticed.await(WAIT_S / 2, TimeUnit.SECONDS)).isTrue()
        } finally {
            isNoticed.countDown()
            server.stop()
        }
    }

    // Guards against work for callers whose request waited unread at an overloaded instance and who left meanwhile.
    @Test
    fun `a caller that left before its request was read is noticed before the request is handled`() {
        val isBusy = CountDownLatch(1)
        val seen = CompletableFuture<Boolean>()
        val server = StreamingUndertow("127.0.0.1", 0, 1).toDisconnectAwareServer { request, caller ->
            if (request.uri.path == "/busy") {
                isBusy.countDown()
                release.await(WAIT_S, TimeUnit.SECONDS)
            } else {
                val isGone = AtomicBoolean()
                request.body.stream.readAllBytes()
                caller.onDisconnect { isGone.set(true) }
                seen.complete(isGone.get())
            }
            Response(Status.OK).header("Content-Length", "0")
        }
        server.start()
        try {
            Socket("127.0.0.1", server.port()).use { busy ->
                busy.getOutputStream().write("GET /busy HTTP/1.1\r\nHost: a\r\n\r\n".toByteArray())
                isBusy.await(WAIT_S, TimeUnit.SECONDS)
                Socket("127.0.0.1", server.port()).use {
                    it.getOutputStream().write("POST /left HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab".toByteArray())
                }
                release.countDown()
                expectThat(seen.get(WAIT_S, TimeUnit.SECONDS)).isTrue()
            }
        } finally {
            release.countDown()
            server.stop()
        }
    }

    // Guards against work that goes on for a caller that has left, because its later requests are read piece by piece first.
    @Test
    fun `a caller that left after it had sent many requests in advance is noticed by the first look at its connection`() {
        val isBusy = CountDownLatch(1)
        val seen = CompletableFuture<Boolean>()
        val inFlight = InFlightExchanges()
        val server = StreamingUndertow("127.0.0.1", 0, 1, inFlight = inFlight).toDisconnectAwareServer { request, caller ->
            if (request.uri.path == "/busy") {
                isBusy.countDown()
                release.await(WAIT_S, TimeUnit.SECONDS)
            } else {
                val isGone = AtomicBoolean()
                caller.onDisconnect { isGone.set(true) }
                seen.complete(isGone.get())
            }
            Response(Status.OK).header("Content-Length", "0")
        }
        server.start()
        try {
            Socket("127.0.0.1", server.port()).use { busy ->
                busy.getOutputStream().write("GET /busy HTTP/1.1\r\nHost: a\r\n\r\n".toByteArray())
                isBusy.await(WAIT_S, TimeUnit.SECONDS)
                Socket("127.0.0.1", server.port()).use {
                    val request = "GET /left HTTP/1.1\r\nHost: a\r\n\r\n"
                    it.getOutputStream().write(request.toByteArray())
                    // The server reads the first request by itself; the others stay in the kernel.
                    while (inFlight.count < 2) Thread.onSpinWait()
                    it.getOutputStream().write(request.repeat(ADVANCE_BYTES / request.length).toByteArray())
                }
                release.countDown()
                expectThat(seen.get(WAIT_S, TimeUnit.SECONDS)).isTrue()
            }
        } finally {
            release.countDown()
            server.stop()
        }
    }

    private fun Socket.readAnswer(): String {
        val head = generateSequence { readLine() }.takeWhile { it.isNotEmpty() }.toList()
        val length = head.first { it.startsWith("Content-Length", ignoreCase = true) }.substringAfter(':').trim().toInt()
        return getInputStream().readNBytes(length).decodeToString()
    }

    private companion object {
        const val WAIT_S = 20L
        const val BODY = "0123456789"
        const val ADVANCE_BYTES = 15 * 1_024
    }
}
