package org.godwitwick.node.upstream

import okhttp3.Request
import org.godwitwick.node.await
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import javax.net.SocketFactory
import kotlin.concurrent.thread

class KeptConnectionTest {
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val connections = CopyOnWriteArrayList<Socket>()
    private val sockets = CopyOnWriteArrayList<Socket>()
    private val client = noRetryClientBuilder().plainHttp()
        .socketFactory(RecordingFactory())
        .readTimeout(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .build()

    private inner class RecordingFactory : SocketFactory() {
        override fun createSocket(): Socket = LimitedSocketFactory.createSocket().also(sockets::add)

        override fun createSocket(host: String, port: Int): Socket = error("not used")

        override fun createSocket(host: String, port: Int, localHost: InetAddress, localPort: Int): Socket = error("not used")

        override fun createSocket(host: InetAddress, port: Int): Socket = error("not used")

        override fun createSocket(host: InetAddress, port: Int, localHost: InetAddress, localPort: Int): Socket =
            error("not used")
    }

    @AfterEach
    fun close() {
        client.connectionPool.evictAll()
        server.close()
    }

    // Answers all requests, but not those to `/silent`.
    private fun serve() = thread(isDaemon = true) {
        while (true) {
            val socket = runCatching { server.accept() }.getOrNull() ?: break
            connections += socket
            thread(isDaemon = true) {
                runCatching {
                    val lines = socket.getInputStream().bufferedReader().lineSequence().iterator()
                    while (lines.hasNext()) {
                        val line = lines.next()
                        while (lines.next().isNotEmpty()) Unit
                        if (!line.contains("/silent")) socket.getOutputStream().write(ANSWER)
                    }
                }
            }
        }
    }

    private fun send(path: String = "/"): String =
        client.newCall(Request.Builder().url("http://127.0.0.1:${server.localPort}$path").build()).execute().use {
            it.body.string()
        }

    // Guards against a check that takes the connection out of its usual mode: reads without waiting, or without a timeout.
    @Test
    fun `a sound connection is reused and keeps its read timeout`() {
        serve()
        repeat(10) { expectThat(send()).isEqualTo("ok") }
        expectCatching { send("/silent") }.isFailure().isA<SocketTimeoutException>()
        expectThat(connections.size).isEqualTo(1)
    }

    // Guards against an answer that nobody has asked for and that is read as the answer to the next request.
    @Test
    fun `a connection on which bytes arrived after the answer is not reused`() {
        serve()
        expectThat(send()).isEqualTo("ok")
        connections.single().getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale".toByteArray())
        await("the bytes are received") { sockets.single().getInputStream().available() > 0 }
        expectThat(send()).isEqualTo("ok")
        expectThat(connections.size).isEqualTo(2)
        expectThat(sockets.first().isClosed).isTrue()
    }

    // Guards against a check that waits for input: 1 ms for each request with the shortest read timeout.
    @Test
    fun `the check of a sound connection does not wait`() {
        serve()
        expectThat(send()).isEqualTo("ok")
        val socket = sockets.single()
        val timesNanos = List(CHECKS) {
            val startedNanos = System.nanoTime()
            expectThat(socket.isInputShutdown).isFalse()
            System.nanoTime() - startedNanos
        }
        expectThat(timesNanos.sorted()[CHECKS / 2]).isLessThan(TimeUnit.MILLISECONDS.toNanos(1) / 2)
    }

    // Guards against TLS connections that cannot be closed in order: the JDK's implementation asks for the linger time.
    @Test
    fun `the options of a socket can be read and set`() {
        LimitedSocket().use { socket ->
            socket.connect(server.localSocketAddress)
            expectThat(socket.soLinger).isEqualTo(-1)
            socket.setSoLinger(true, 1)
            expectThat(socket.soLinger).isEqualTo(1)
            socket.setSoLinger(false, 0)
            socket.soTimeout = 10
            socket.tcpNoDelay = true
            expectThat(listOf(socket.soLinger, socket.soTimeout, socket.tcpNoDelay)).isEqualTo(listOf(-1, 10, true))
            expectThat(socket.remoteSocketAddress).isEqualTo(server.localSocketAddress)
        }
    }

    private companion object {
        const val READ_TIMEOUT_MS = 1_000L
        const val CHECKS = 200
        val ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".toByteArray()
    }
}
