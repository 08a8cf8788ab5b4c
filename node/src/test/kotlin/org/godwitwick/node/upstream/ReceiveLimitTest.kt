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
                // The client closed its socket before all bytes were written, as one of the tests expects.
            }
        }
        return LimitedSocket().apply { connect(InetSocketAddress(server.inetAddress, server.localPort)) }
    }

    @Test
    fun `reading more bytes than the limit outside a response body fails`() {
        connected().use { socket ->
            socket.onBodyRead()
            expectCatching { socket.getInputStream().readAllBytes() }.isFailure().isA<IOException>()
        }
    }

    @Test
    fun `a body larger than the limit is read if each read is reported`() {
        connected().use { socket ->
            val buffer = ByteArray(8_192)
            var total = 0
            while (true) {
                val count = socket.getInputStream().read(buffer)
                if (count < 0) break
                socket.onBodyRead()
                total += count
            }
            expectThat(total).isEqualTo(SENT_BYTES)
        }
    }

    // Guards against TLS connections that fail at the limit: their reads are never reported to the underlying socket.
    @Test
    fun `a socket is not bounded if no read is ever reported`() {
        connected().use { expectThat(it.getInputStream().readAllBytes().size).isEqualTo(SENT_BYTES) }
    }

    private companion object {
        const val SENT_BYTES = 2 shl 20
    }
}
