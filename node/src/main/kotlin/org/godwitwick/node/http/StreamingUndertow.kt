package org.godwitwick.node.http

import io.undertow.Undertow
import io.undertow.UndertowOptions
import io.undertow.server.HttpServerExchange
import io.undertow.server.handlers.BlockingHandler
import io.undertow.server.protocol.http.HttpServerConnection
import io.undertow.util.Headers
import io.undertow.util.HttpString
import io.undertow.util.Methods
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.RequestSource
import org.http4k.core.Response
import org.http4k.server.Http4kServer
import org.http4k.server.ServerConfig
import org.slf4j.LoggerFactory
import org.slf4j.MDC
import org.xnio.Options
import java.io.IOException
import java.io.InputStream
import java.io.InterruptedIOException
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import io.undertow.server.HttpHandler as UndertowHandler

/**
 * An http4k server on Undertow that flushes after every read of the response body.
 *
 * The Undertow server of http4k buffers a streamed body, so a token would reach the caller only once the buffer is full.
 *
 * @property workerThreads number of threads that handle requests; an exchange occupies one until its answer is written.
 * @property maxBodyBytes largest accepted request body, in bytes.
 * @property maxHeaderBytes largest accepted request header, in bytes.
 * @property inFlight counts each exchange from the arrival of its header, including exchanges that wait for a worker thread.
 * @property isClosing whether to close each connection after its answer, so that callers connect to another instance.
 * @property writeTimeoutMs time after which a caller that does not read is disconnected; it would block a thread forever
 *   otherwise. On servers with a [DisconnectAwareHandler] it also limits each read of the request body. It limits the close, too.
 * @property idleTimeoutMs time after which an unused connection is closed, or null to keep it open.
 * @property headerTimeoutMs time within which a request header must arrive completely, or null for no limit.
 */
class StreamingUndertow(
    private val host: String,
    private val port: Int,
    private val workerThreads: Int,
    private val maxBodyBytes: Long = 16L * 1024 * 1024,
    private val maxHeaderBytes: Int = 16 * 1024,
    private val inFlight: InFlightExchanges = InFlightExchanges(),
    private val isClosing: () -> Boolean = { false },
    private val writeTimeoutMs: Long = 10_000,
    private val idleTimeoutMs: Int? = null,
    private val headerTimeoutMs: Int? = null,
) : ServerConfig {
    override fun toServer(http: HttpHandler): Http4kServer = toServer(usesRawTarget = false) { request, _ -> http(request) }

    /** Creates a server whose [handler] can detect disconnected callers and receives the path as it was sent, not decoded. */
    fun toDisconnectAwareServer(handler: DisconnectAwareHandler): Http4kServer = toServer(usesRawTarget = true, handler)

    private fun toServer(usesRawTarget: Boolean, handler: DisconnectAwareHandler): Http4kServer {
        val watchdog = BlockingWatchdog(writeTimeoutMs)
        val monitor = CallerMonitor()
        val exchanges = ExchangeHandler(handler, isClosing, watchdog, monitor, usesRawTarget)
        val builder = Undertow.builder()
            .addHttpListener(port, host)
            .setWorkerThreads(workerThreads)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, maxBodyBytes)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, maxHeaderBytes)
            .setServerOption(UndertowOptions.RECORD_REQUEST_START_TIME, true)
            // Otherwise an answer to a caller that has pipelined a request is held back until the next answer is complete.
            .setServerOption(UndertowOptions.BUFFER_PIPELINED_DATA, false)
            .setHandler(countExchanges(BlockingHandler(exchanges)))
        idleTimeoutMs?.let { builder.setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, it) }
        headerTimeoutMs?.let { builder.setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, it) }
        return RunningServer(builder.build(), listOf(watchdog, monitor))
    }

    private fun countExchanges(next: UndertowHandler) = UndertowHandler { exchange ->
        val inFlightExchange = InFlightExchange(inFlight)
        exchange.putAttachment(InFlightExchange.KEY, inFlightExchange)
        exchange.addExchangeCompleteListener { _, nextListener ->
            inFlightExchange.onExchangeCompleted()
            LingeringClose.closeIfLast(exchange, writeTimeoutMs, nextListener::proceed)
        }
        next.handleRequest(exchange)
    }

    private class RunningServer(private val server: Undertow, private val resources: List<AutoCloseable>) : Http4kServer {
        override fun start(): Http4kServer = apply { server.start() }

        override fun stop(): Http4kServer = apply {
            server.stop()
            resources.forEach { it.close() }
        }

        override fun port(): Int = (server.listenerInfo.first().address as InetSocketAddress).port
    }

    private class ExchangeHandler(
        private val handler: DisconnectAwareHandler,
        private val isClosing: () -> Boolean,
        private val watchdog: BlockingWatchdog,
        private val monitor: CallerMonitor,
        private val usesRawTarget: Boolean,
    ) : UndertowHandler {
        // The body of the answer is produced on this thread, so the logging context of the request stays set until the last byte.
        override fun handleRequest(exchange: HttpServerExchange) {
            val inFlightExchange = exchange.getAttachment(InFlightExchange.KEY)
            inFlightExchange.onHandlerStarted()
            try {
                if (isClosing()) exchange.isPersistent = false
                handle(exchange)
            } finally {
                MDC.clear()
                inFlightExchange.onHandlerReturned()
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
                val response = handler(readRequest(exchange, method), caller)
                // Also closes a body whose head could not be written.
                response.body.use { writeResponse(exchange, response, caller) }
            }
        }

        private fun readRequest(exchange: HttpServerExchange, method: Method): Request {
            val query = exchange.queryString.let { if (it.isEmpty()) "" else "?$it" }
            val headers = exchange.requestHeaders
                .filterNot { it.headerName.toString().equals(ARRIVAL_HEADER, ignoreCase = true) }
                .flatMap { values -> values.map { values.headerName.toString() to it } }
            val length = exchange.requestContentLength.takeIf { it >= 0 }
            val path = if (usesRawTarget) exchange.requestURI else exchange.requestPath
            return Request(method, path + query)
                .headers(headers)
                .header(ARRIVAL_HEADER, exchange.requestStartTime.toString())
                .body(if (usesRawTarget) TimeoutInputStream(exchange.inputStream, watchdog) else exchange.inputStream, length)
                .source(RequestSource(exchange.sourceAddress.hostString))
        }

        private fun writeResponse(exchange: HttpServerExchange, response: Response, caller: CallerWatch) {
            // The response may already be ended because the caller disconnected; nothing can be written then.
            if (exchange.isResponseStarted) return response.body.close()
            exchange.statusCode = response.status.code
            response.headers.groupBy({ it.first }, { it.second ?: "" })
                .forEach { (name, values) -> exchange.responseHeaders.putAll(HttpString(name), values) }
            val hasKnownEnd = frameBody(exchange, response)
            // After the last byte of an answer with a known length the caller may send its next request, so the watch ends here.
            if (hasKnownEnd) caller.close()
            if (isClosing() || response.header("Connection") == "close") exchange.isPersistent = false
            val endsWithConnection = !hasKnownEnd && !exchange.isHttp11
            response.body.stream.use { body -> copyOrAbort(exchange, body, caller, endsWithConnection) }
        }

        // Returns whether the end of the body is known from the head. On a connection that is not kept, Undertow would end any other
        // body by closing the connection, as an abort does.
        private fun frameBody(exchange: HttpServerExchange, response: Response): Boolean {
            if (exchange.responseHeaders.contains(Headers.CONTENT_LENGTH) || !mayHaveBody(exchange)) return true
            val length = response.body.length
            if (length != null) {
                exchange.responseContentLength = length
                return true
            }
            if (exchange.isHttp11) exchange.responseHeaders.put(Headers.TRANSFER_ENCODING, "chunked")
            return false
        }

        private fun mayHaveBody(exchange: HttpServerExchange): Boolean =
            exchange.requestMethod != Methods.HEAD && exchange.statusCode !in BODILESS_STATUSES

        // If the body fails midway, for whatever reason, the connection is closed without the last chunk, so that clients notice the
        // failure. Undertow would end the answer regularly after an unexpected exception.
        private fun copyOrAbort(
            exchange: HttpServerExchange,
            body: InputStream,
            caller: CallerWatch,
            endsWithConnection: Boolean,
        ) {
            var isComplete = false
            try {
                // Without chunks only a reset can be told from the end of the body, also if the kernel closes the connection because
                // the process was killed.
                if (endsWithConnection) exchange.connection.setOption(Options.CLOSE_ABORT, true)
                copyFlushing(exchange, body)
                // The caller may send its next request as soon as it has received the last byte.
                caller.close()
                if (endsWithConnection) exchange.connection.setOption(Options.CLOSE_ABORT, false)
                watchdog.runWithTimeout { exchange.outputStream.close() }
                isComplete = true
            } catch (e: IOException) {
                log.debug("http: response aborted: {}", e.message)
                if (e is InterruptedIOException) deregister(exchange)
            } finally {
                if (!isComplete) exchange.connection.close()
            }
        }

        // After an interrupted wait, XNIO leaves the connection registered with the selector of this thread until the thread waits
        // again. Java does not close a registered connection, nor shut it down if its close is a reset.
        private fun deregister(exchange: HttpServerExchange) {
            val connection = exchange.connection as? HttpServerConnection ?: return
            try {
                connection.originalSinkConduit.awaitWritable(1, TimeUnit.MILLISECONDS)
            } catch (e: IOException) {
                log.debug("http: connection may be closed late: {}", e.message)
            }
        }

        private fun copyFlushing(exchange: HttpServerExchange, body: InputStream) {
            val out = exchange.outputStream
            val buffer = ByteArray(COPY_BUFFER_BYTES)
            while (true) {
                val count = body.read(buffer)
                if (count < 0) return
                watchdog.runWithTimeout {
                    out.write(buffer, 0, count)
                    out.flush()
                }
            }
        }
    }

    private class TimeoutInputStream(private val input: InputStream, private val watchdog: BlockingWatchdog) : InputStream() {
        override fun read(): Int = watchdog.runWithTimeout { input.read() }

        override fun read(target: ByteArray, offset: Int, length: Int): Int = watchdog.runWithTimeout {
            input.read(target, offset, length)
        }

        override fun close() = input.close()
    }

    companion object {
        /**
         * Internal request header with the [System.nanoTime] at which the request header arrived. Values sent by callers are
         * dropped.
         */
        const val ARRIVAL_HEADER = "Godwitwick-Arrival-Nanos"
        private val BODILESS_STATUSES = setOf(204, 304)
        private const val COPY_BUFFER_BYTES = 16 * 1024
        private val log = LoggerFactory.getLogger(StreamingUndertow::class.java)
    }
}
