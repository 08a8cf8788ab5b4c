package org.godwitwick.node.http

import io.undertow.Undertow
import io.undertow.UndertowOptions
import io.undertow.server.HttpServerExchange
import io.undertow.server.handlers.BlockingHandler
import io.undertow.util.Headers
import io.undertow.util.HttpString
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.RequestSource
import org.http4k.core.Response
import org.http4k.server.Http4kServer
import org.http4k.server.ServerConfig
import org.slf4j.LoggerFactory
import org.slf4j.MDC
import java.io.IOException
import java.io.InputStream
import java.net.InetSocketAddress
import io.undertow.server.HttpHandler as UndertowHandler

/**
 * An http4k server on Undertow that flushes after every read of the response body.
 *
 * http4k's own Undertow server buffers a streamed body, so that a token would reach the caller only when the buffer is full.
 *
 * @property maxBodyBytes largest accepted request body.
 * @property maxHeaderBytes largest accepted request header.
 * @property inFlight counts each exchange from its header on, those that wait for a worker thread included.
 * @property isClosing whether connections are closed after their answer, so that callers connect to another instance.
 * @property writeTimeoutMs time after which a caller that reads nothing is cut off; it would hold a thread for ever otherwise.
 * @property idleTimeoutMs time after which an unused connection is closed, or null to leave it open.
 * @property headerTimeoutMs time in which a request's header has to arrive, or null for any.
 */
class StreamingUndertow(
    private val host: String,
    private val port: Int,
    private val workerThreads: Int,
    private val maxBodyBytes: Long = 16L * 1024 * 1024,
    private val maxHeaderBytes: Int = 16 * 1024,
    private val inFlight: InFlight = InFlight(),
    private val isClosing: () -> Boolean = { false },
    private val writeTimeoutMs: Long = 10_000,
    private val idleTimeoutMs: Int? = null,
    private val headerTimeoutMs: Int? = null,
) : ServerConfig {
    override fun toServer(http: HttpHandler): Http4kServer = toServer(isTargetRaw = false) { request, _ -> http(request) }

    /** A server whose [handler] learns when callers leave, and gets the path as it was sent, without decoding. */
    fun toWatchingServer(handler: WatchingHandler): Http4kServer = toServer(isTargetRaw = true, handler)

    private fun toServer(isTargetRaw: Boolean, handler: WatchingHandler): Http4kServer {
        val watchdog = BlockingWatchdog(writeTimeoutMs)
        val monitor = CallerMonitor()
        val exchanges = ExchangeHandler(handler, isClosing, watchdog, monitor, isTargetRaw)
        val builder = Undertow.builder()
            .addHttpListener(port, host)
            .setWorkerThreads(workerThreads)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, maxBodyBytes)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, maxHeaderBytes)
            .setServerOption(UndertowOptions.RECORD_REQUEST_START_TIME, true)
            .setHandler(counted(BlockingHandler(exchanges)))
        idleTimeoutMs?.let { builder.setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, it) }
        headerTimeoutMs?.let { builder.setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, it) }
        return RunningServer(builder.build(), listOf(watchdog, monitor))
    }

    private fun counted(next: UndertowHandler) = UndertowHandler { exchange ->
        val presence = Presence(inFlight)
        exchange.putAttachment(Presence.KEY, presence)
        exchange.addExchangeCompleteListener { _, nextListener ->
            presence.completed()
            nextListener.proceed()
        }
        next.handleRequest(exchange)
    }

    private class RunningServer(private val server: Undertow, private val parts: List<AutoCloseable>) : Http4kServer {
        override fun start(): Http4kServer = apply { server.start() }

        override fun stop(): Http4kServer = apply {
            server.stop()
            parts.forEach { it.close() }
        }

        override fun port(): Int = (server.listenerInfo.first().address as InetSocketAddress).port
    }

    private class ExchangeHandler(
        private val handler: WatchingHandler,
        private val isClosing: () -> Boolean,
        private val watchdog: BlockingWatchdog,
        private val monitor: CallerMonitor,
        private val isTargetRaw: Boolean,
    ) : UndertowHandler {
        // The answer's body is produced on this thread, so the logging context of the request holds until the last byte.
        override fun handleRequest(exchange: HttpServerExchange) {
            val presence = exchange.getAttachment(Presence.KEY)
            presence.handlerBegan()
            try {
                if (isClosing()) exchange.isPersistent = false
                handle(exchange)
            } finally {
                MDC.clear()
                presence.handlerReturned()
            }
        }

        private fun handle(exchange: HttpServerExchange) {
            val method = try {
                Method.valueOf(exchange.requestMethod.toString())
            } catch (_: IllegalArgumentException) {
                exchange.statusCode = 405
                return
            }
            monitor.watch(exchange).use { caller ->
                writeResponse(exchange, handler(readRequest(exchange, method), caller), caller)
            }
        }

        private fun readRequest(exchange: HttpServerExchange, method: Method): Request {
            val query = exchange.queryString.let { if (it.isEmpty()) "" else "?$it" }
            val headers = exchange.requestHeaders
                .filterNot { it.headerName.toString().equals(ARRIVAL_HEADER, ignoreCase = true) }
                .flatMap { values -> values.map { values.headerName.toString() to it } }
            val length = exchange.requestContentLength.takeIf { it >= 0 }
            val path = if (isTargetRaw) exchange.requestURI else exchange.requestPath
            return Request(method, path + query)
                .headers(headers)
                .header(ARRIVAL_HEADER, exchange.requestStartTime.toString())
                .body(if (isTargetRaw) GuardedInput(exchange.inputStream, watchdog) else exchange.inputStream, length)
                .source(RequestSource(exchange.sourceAddress.hostString))
        }

        private fun writeResponse(exchange: HttpServerExchange, response: Response, caller: CallerWatch) {
            // The connection of a caller that left is closed, and nothing can be written to it.
            if (exchange.isResponseStarted) return response.body.close()
            exchange.statusCode = response.status.code
            response.headers.groupBy({ it.first }, { it.second ?: "" })
                .forEach { (name, values) -> exchange.responseHeaders.putAll(HttpString(name), values) }
            if (exchange.isHttp11 && response.header("Content-Type") == EVENT_STREAM) {
                // With "Connection: close" Undertow would mark the end of the body by closing the connection, as an abort does.
                exchange.responseHeaders.put(Headers.TRANSFER_ENCODING, "chunked")
            }
            // An answer with a known length is complete with its last byte, and the caller may send its next request at once.
            if (response.header("Content-Type") != EVENT_STREAM) caller.close()
            if (isClosing() || response.header("Connection") == "close") exchange.isPersistent = false
            response.body.stream.use { body -> copyOrAbort(exchange, body, caller) }
        }

        // A body that fails midway closes the connection without the last chunk, so that a client can't take it for a whole answer.
        private fun copyOrAbort(exchange: HttpServerExchange, body: InputStream, caller: CallerWatch) {
            try {
                copyFlushing(exchange, body, caller)
            } catch (e: IOException) {
                log.debug("http: response aborted: {}", e.message)
                exchange.connection.close()
            }
        }

        private fun copyFlushing(exchange: HttpServerExchange, body: InputStream, caller: CallerWatch) {
            val out = exchange.outputStream
            val buffer = ByteArray(COPY_BUFFER_BYTES)
            while (true) {
                val count = body.read(buffer)
                if (count < 0) break
                watchdog.guarded {
                    out.write(buffer, 0, count)
                    out.flush()
                }
            }
            // The caller may send its next request as soon as it has the last byte.
            caller.close()
            watchdog.guarded { out.close() }
        }
    }

    private class GuardedInput(private val input: InputStream, private val watchdog: BlockingWatchdog) : InputStream() {
        override fun read(): Int = watchdog.guarded { input.read() }

        override fun read(target: ByteArray, offset: Int, length: Int): Int = watchdog.guarded {
            input.read(target, offset, length)
        }

        override fun close() = input.close()
    }

    companion object {
        /** Internal request header: time at which the request's header arrived, on the scale of [System.nanoTime]. */
        const val ARRIVAL_HEADER = "Godwitwick-Arrival-Nanos"
        private const val EVENT_STREAM = "text/event-stream"
        private const val COPY_BUFFER_BYTES = 16 * 1024
        private val log = LoggerFactory.getLogger(StreamingUndertow::class.java)
    }
}
