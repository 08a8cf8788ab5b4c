package org.godwitwick.standins.weights

import io.undertow.server.HttpServerExchange
import io.undertow.util.Headers
import org.godwitwick.standins.FakeServer
import org.godwitwick.standins.sendJson

/**
 * Stand-in for the weight store: `GET /weights/{model}/{version}` answers with [weightBytes] bytes. At most [loadsPerMinute]
 * loads are accepted in any 60 s; further ones get status 429 with `Retry-After`.
 */
class FakeWeightStore(
    port: Int,
    private val loadsPerMinute: Int = 60,
    private val weightBytes: Int = 1_024,
    private val nowMs: () -> Long = System::currentTimeMillis,
) : AutoCloseable {
    private val loadStartsMs = ArrayDeque<Long>()
    private val server = FakeServer(port, WORKER_THREADS, ::serve)

    /** `ip:port` of the stand-in. */
    val address: String get() = server.address

    private fun serve(exchange: HttpServerExchange) {
        val parts = exchange.requestPath.trim('/').split('/')
        if (parts.size != PATH_PARTS || parts.first() != "weights" || exchange.requestMethod.toString() != "GET") {
            return exchange.sendJson("{}", NOT_FOUND)
        }
        val waitMs = acquireOrWaitMs()
        if (waitMs > 0) {
            exchange.responseHeaders.put(Headers.RETRY_AFTER, ((waitMs + MS_PER_SECOND - 1) / MS_PER_SECOND).toString())
            return exchange.sendJson("{\"retry_after_ms\":$waitMs}", TOO_MANY_REQUESTS)
        }
        exchange.responseHeaders.put(Headers.CONTENT_TYPE, "application/octet-stream")
        exchange.outputStream.use { it.write(ByteArray(weightBytes)) }
    }

    // Counts a load and returns 0 if it may start now; otherwise returns the time until one may.
    @Synchronized
    private fun acquireOrWaitMs(): Long {
        val now = nowMs()
        while (loadStartsMs.isNotEmpty() && loadStartsMs.first() + MS_PER_MINUTE <= now) loadStartsMs.removeFirst()
        if (loadStartsMs.size >= loadsPerMinute) return loadStartsMs.first() + MS_PER_MINUTE - now
        loadStartsMs.addLast(now)
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
