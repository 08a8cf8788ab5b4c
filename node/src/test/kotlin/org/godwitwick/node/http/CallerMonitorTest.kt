package org.godwitwick.node.http

import org.http4k.core.Body
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.InputStream
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

class CallerMonitorTest {
    private val release = CountDownLatch(1)

    /** Two bytes, after which the end takes long to be told. */
    private inner class LateEnd : InputStream() {
        private var isRead = false

        override fun read(): Int = error("read in pieces")

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

    private fun Socket.ask(path: String, body: String): String {
        getOutputStream().write("POST $path HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n".toByteArray())
        // Slow enough for several periods of the monitor to fall into the body.
        body.forEach {
            getOutputStream().write(it.code)
            TimeUnit.MILLISECONDS.sleep(40)
        }
        generateSequence { line() }.takeWhile { it.isNotEmpty() }.toList()
        return getInputStream().readNBytes(2).decodeToString()
    }

    private fun Socket.line() = generateSequence { getInputStream().read().takeIf { it >= 0 }?.toChar() }
        .takeWhile { it != '\n' }.joinToString("").trimEnd('\r')

    // Guards against bytes of a caller's next request that are taken from the connection while the last answer is being ended.
    @Test
    fun `a request on a kept connection is read while the handler of the one before it still runs`() {
        val server = StreamingUndertow("127.0.0.1", 0, 4).toWatchingServer { request, caller ->
            caller.onGone { }
            val isWhole = request.body.stream.readAllBytes().decodeToString() == BODY
            val body = if (request.uri.path == "/first") LateEnd() else (if (isWhole) "ok" else "no").byteInputStream()
            Response(Status.OK).header("Content-Length", "2").body(Body(body, null))
        }
        server.start()
        try {
            Socket("127.0.0.1", server.port()).use { caller ->
                caller.soTimeout = (WAIT_S * 1_000).toInt() / 2
                caller.ask("/first", "")
                expectThat(caller.ask("/next", BODY)).isEqualTo("ok")
            }
        } finally {
            release.countDown()
            server.stop()
        }
    }

    private companion object {
        const val WAIT_S = 20L
        const val BODY = "0123456789"
    }
}
