package org.godwitwick.node.upstream

import okhttp3.Request
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.lang.management.ManagementFactory
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

class SingleUsePoolTest {
    private val threads = ManagementFactory.getThreadMXBean()

    private fun httpThreadsCpuMs(): Long = threads.getThreadInfo(threads.allThreadIds).filterNotNull()
        .filter { it.threadName.startsWith("OkHttp") }
        .sumOf { TimeUnit.NANOSECONDS.toMillis(threads.getThreadCpuTime(it.threadId).coerceAtLeast(0)) }

    // Guards against a pool that checks its connections without a pause while one of them is in use, which takes a whole core.
    @Test
    fun `a connection that is used once takes no processor time while its answer is awaited, and is closed after it`() {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            val client = noRetryClientBuilder().plainHttp().connectionPool(singleUsePool()).build()
            var usedMs = 0L
            val upstream = thread {
                server.accept().use { socket ->
                    socket.getInputStream().read()
                    val beforeMs = httpThreadsCpuMs()
                    Thread.sleep(ANSWER_MS)
                    usedMs = httpThreadsCpuMs() - beforeMs
                    socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".toByteArray())
                }
            }
            val answer = client.newCall(Request.Builder().url("http://127.0.0.1:${server.localPort}/").build()).execute()
            expectThat(answer.use { it.body.string() }).isEqualTo("ok")
            upstream.join()
            expectThat(client.connectionPool.connectionCount()).isEqualTo(0)
            expectThat(usedMs).isLessThan(ANSWER_MS / 10)
        }
    }

    private companion object {
        const val ANSWER_MS = 1_000L
    }
}
