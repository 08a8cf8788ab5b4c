package org.godwitwick.standins.engine

import io.undertow.server.HttpServerExchange
import io.undertow.util.Headers
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.godwitwick.standins.FakeServer
import org.godwitwick.standins.bodyText
import org.godwitwick.standins.sendJson

/**
 * Stand-in of a model engine.
 *
 * @property prefillTokensPerSecond speed of prefill in model time.
 * @property tokenGapMs time between generated tokens in model time.
 * @property timeScale model milliseconds for each real millisecond.
 */
class FakeEngine(
    port: Int,
    private val prefillTokensPerSecond: Double = 20_000.0,
    private val tokenGapMs: Double = 25.0,
    private val timeScale: Double = 1.0,
) : AutoCloseable {
    private val server = FakeServer(port, WORKER_THREADS) { exchange ->
        when (exchange.requestPath) {
            "/v1/generate" -> generate(exchange)
            else -> exchange.sendJson("{}", NOT_FOUND)
        }
    }

    /** `ip:port` of the stand-in. */
    val address: String get() = server.address

    private fun generate(exchange: HttpServerExchange) {
        val request = Json.parseToJsonElement(exchange.bodyText()).jsonObject
        val id = request.getValue("request_id").jsonPrimitive.content
        val prompt = request.getValue("prompt").jsonPrimitive.content
        val maxTokens = request.getValue("max_tokens").jsonPrimitive.int
        exchange.responseHeaders.put(Headers.CONTENT_TYPE, "text/event-stream")
        val out = exchange.outputStream
        waitModelMs(prompt.length / CHARS_PER_TOKEN / prefillTokensPerSecond * MS_PER_SECOND)
        for (index in 0 until maxTokens) {
            out.write("data:{\"request_id\":\"$id\",\"index\":$index,\"token\":\"t$index \"}\n\n".toByteArray())
            out.flush()
            waitModelMs(tokenGapMs)
        }
        out.write("data:{\"request_id\":\"$id\",\"done\":true,\"tokens\":$maxTokens}\n\n".toByteArray())
        out.close()
    }

    private fun waitModelMs(modelMs: Double) {
        Thread.sleep((modelMs / timeScale).toLong())
    }

    override fun close() {
        server.close()
    }

    private companion object {
        const val WORKER_THREADS = 64
        const val CHARS_PER_TOKEN = 4
        const val MS_PER_SECOND = 1_000.0
        const val NOT_FOUND = 404
    }
}
