package org.godwitwick.node.http

import org.http4k.core.Body
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.IOException
import java.io.InputStream
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

class InFlightExchangeTest {
    private val isClosing = CountDownLatch(1)
    private val release = CountDownLatch(1)
    private val inFlight = InFlightExchanges()

    private val breakingBody = object : InputStream() {
        override fun read(): Int = throw IOException("broken")

        override fun close() {
            isClosing.countDown()
            release.await(WAIT_S, TimeUnit.SECONDS)
        }
    }

    // Guards against a drain that ends, or a metric that is read, before the end of a broken request is recorded.
    @Test
    fun `an exchange whose connection broke is in flight until its handler has returned`() {
        val server = StreamingUndertow("127.0.0.1", 0, 4, inFlight = inFlight).toServer {
            Response(Status.OK).body(Body(breakingBody))
        }
        server.start()
        try {
            Socket("127.0.0.1", server.port()).use { caller ->
                caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".toByteArray())
                expectThat(isClosing.await(WAIT_S, TimeUnit.SECONDS)).isEqualTo(true)
                // The server closes the connection before it closes the body.
                expectThat(caller.getInputStream().read()).isEqualTo(-1)
                expectThat(inFlight.count).isEqualTo(1)
                release.countDown()
            }
            expectThat(inFlight.awaitNone({ System.nanoTime() / 1_000_000 }, WAIT_S * 1_000)).isEqualTo(0)
        } finally {
            release.countDown()
            server.stop()
        }
    }

    private companion object {
        const val WAIT_S = 20L
    }
}
