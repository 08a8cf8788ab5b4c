package org.godwitwick.standins.weights

import io.undertow.server.HttpServerExchange
import io.undertow.util.Headers
import org.godwitwick.standins.FakeServer
import org.godwitwick.standins.sendJson

/**
 * Stand-in of the weight store: `GET /weights/{model}/{version}` answers with [weightBytes] bytes. At most [loadsPerMinute] loads start in
 * a minute; others get status 429 with `Retry-After`.
 */
class FakeWeightStore(
    port: Int,
    private val loadsPerMinute: Int = 60,
    private val weightBytes: Int = 1_024,
    private val nowMs: () -> Long = System::currentTimeMillis,
) : AutoCloseable {
    private val startedMs = ArrayDeque<Long>()
    private val server = FakeServer(port, WORKER_THREADS, ::serve)

    /** `ip:port` of the stand-in. */
    val address: String get() = server.address

    private fun serve(exchange: HttpServerExchange) {
        val parts = exchange.requestPath.trim('/').split('/')
        if (parts.size != PATH_PARTS || parts.first() != "weights" || exchange.requestMethod.toString() != "GET") {
            return exchange.sendJson("{}", NOT_FOUND)
        }
        val waitMs = waitMs()
        if (waitMs > 0) {
            exchange.responseHeaders.put(Headers.RETRY_AFTER, ((waitMs + MS_PER_SECOND - 1) / MS_PER_SECOND).toString())
            return exchange.sendJson("{\"retry_after_ms\":$waitMs}", TOO_MANY_REQUESTS)
        }
        exchange.responseHeaders.put(Headers.CONTENT_TYPE, "application/octet-stream")
        exchange.outputStream.use { it.write(ByteArray(weightBytes)) }
    }

    // 0 when a load may start now, which is then counted.
    @Synchronized
    private fun waitMs(): Long {
        val now = nowMs()
        while (startedMs.isNotEmpty() && startedMs.first() + MS_PER_MINUTE <= now) startedMs.removeFirst()
        if (startedMs.size >= loadsPerMinute) return startedMs.first() + MS_PER_MINUTE - now
        startedMs.addLast(now)
        return 0
    }

    override fun close() = server.close()

    private companion object {
        const val WORKER_THREADS = 8
        const val PATH_PARTS = 3
        const val NOT_FOUND = 404
        const val TOO_MANY_REQUESTS = 429
        const val MS_PER_SECOND = 1_000L
        const val MS_PER_MINUTE = 60_000L
    }
}
