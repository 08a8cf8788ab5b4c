package org.godwitwick.standins

import io.undertow.Undertow
import io.undertow.UndertowOptions
import io.undertow.server.HttpServerExchange
import io.undertow.server.handlers.BlockingHandler
import io.undertow.util.Headers
import java.net.InetSocketAddress

/** HTTP server of one stand-in, on the loopback address. [handle] runs on worker threads and may block. */
class FakeServer(port: Int, workerThreads: Int, handle: (HttpServerExchange) -> Unit) : AutoCloseable {
    private val server = Undertow.builder()
        .addHttpListener(port, "127.0.0.1")
        .setIoThreads(2)
        .setWorkerThreads(workerThreads)
        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
        .setHandler(BlockingHandler { handle(it) })
        .build()

    /** Port on which the server listens; the one chosen by the system if it was created with port 0. */
    val port: Int get() = (server.listenerInfo.first().address as InetSocketAddress).port

    /** `ip:port` of the server. */
    val address: String get() = "127.0.0.1:$port"

    init {
        server.start()
    }

    override fun close() {
        server.stop()
    }

    private companion object {
        const val MAX_BODY_BYTES = 64L * 1024 * 1024
    }
}

/** Sends [json] as the whole response, with HTTP [status]. */
fun HttpServerExchange.sendJson(json: String, status: Int = 200) {
    statusCode = status
    responseHeaders.put(Headers.CONTENT_TYPE, "application/json")
    outputStream.use { it.write(json.toByteArray()) }
}

/** The whole request body as text. */
fun HttpServerExchange.bodyText(): String = inputStream.readBytes().decodeToString()

/** First value of the query parameter [name], or null if it is absent. */
fun HttpServerExchange.query(name: String): String? = queryParameters[name]?.firstOrNull()
