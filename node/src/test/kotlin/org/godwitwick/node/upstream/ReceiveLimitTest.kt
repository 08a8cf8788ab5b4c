package org.godwitwick.node.upstream

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import kotlin.concurrent.thread

class ReceiveLimitTest {
    private val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())

    @AfterEach
    fun close() = server.close()

    private fun connected(): LimitedSocket {
        thread(isDaemon = true) {
            try {
                server.accept().use { it.getOutputStream().write(ByteArray(SENT_BYTES)) }
            } catch (_: IOException) {
                // The other side has closed its socket, as one of these tests expects.
            }
        }
        return LimitedSocket().apply { connect(InetSocketAddress(server.inetAddress, server.localPort)) }
    }

    @Test
    fun `bytes that are no part of an answer's body are bounded`() {
        connected().use { socket ->
            socket.onBodyRead()
            expectCatching { socket.getInputStream().readAllBytes() }.isFailure().isA<IOException>()
        }
    }

    @Test
    fun `a body of any size is read when each piece is told`() {
        connected().use { socket ->
            val piece = ByteArray(8_192)
            var total = 0
            while (true) {
                val count = socket.getInputStream().read(piece)
                if (count < 0) break
                socket.onBodyRead()
                total += count
            }
            expectThat(total).isEqualTo(SENT_BYTES)
        }
    }

    // Guards against connections under TLS that end after the bound, since nobody tells the socket below what was used.
    @Test
    fun `a socket whose user tells nothing is not bounded`() {
        connected().use { expectThat(it.getInputStream().readAllBytes().size).isEqualTo(SENT_BYTES) }
    }

    private companion object {
        const val SENT_BYTES = 2 shl 20
    }
}
