package org.godwitwick.node.http

import org.http4k.core.Body
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isTrue
import java.io.ByteArrayInputStream
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

class UnwritableAnswerTest {
    // Guards against memory and counts that are held for good by an answer whose head the server refuses to write.
    @Test
    fun `the body of an answer is closed even if its head cannot be written`() {
        val closed = CountDownLatch(1)
        val body = object : ByteArrayInputStream(ByteArray(10)) {
            override fun close() = closed.countDown()
        }
        val server = StreamingUndertow("127.0.0.1", 0, 4)
            .toDisconnectAwareServer { _, _ -> Response(Status.OK).header("X-\u0142", "v").body(Body(body, null)) }
            .start()
        try {
            Socket("127.0.0.1", server.port()).use { socket ->
                socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".toByteArray())
                expectThat(closed.await(5, TimeUnit.SECONDS)).isTrue()
            }
        } finally {
            server.stop()
        }
    }
}
