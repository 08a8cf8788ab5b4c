package org.godwitwick.node.http

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.ThrowableProxyUtil
import ch.qos.logback.core.AppenderBase
import com.github.michaelbull.result.Err
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.godwitwick.node.upstream.TokenEvent
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.slf4j.LoggerFactory
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.startsWith

/** What requests leave in the metrics and in the log. */
@Timeout(30)
class RequestRecorderTest {
    private val generate = ScriptedGenerate()

    /** Guards against prompts and keys in the log, at every level and for every outcome of a request. */
    @Test
    fun `neither prompts nor keys are logged`() {
        val log = captured { server -> server.runAllOutcomes() }
        expectThat(log).contains("http: request ended").contains("bad_request").contains("unauthenticated").contains("internal")
        val secrets = listOf(CallerServer.PROMPT, CallerServer.KEY, "wrong-key")
        expectThat(secrets.filter { it in log }).isEmpty()
    }

    /** Guards against log lines that cannot be found by the request id, including those written while the body is streamed. */
    @Test
    fun `every log line of a request carries its id`() {
        val sent = "0198c1de-7a11-7cc3-8a1f-0123456789ab"
        val log = captured { server ->
            generate.events.put(TokenEvent.Failed(Failure(ErrorKind.UPSTREAM_FAILED, "engine stream broke")))
            server.complete(stream = true, mapOf(REQUEST_ID_HEADER to sent)).use { answer ->
                expectThat(answer.header(REQUEST_ID_HEADER)!!).startsWith("$sent.")
                runCatching { answer.body.string() }
            }
        }
        val lines = log.lines().filter { "http: request" in it }
        expectThat(lines).hasSize(1).all { contains("request_id=$sent.") }
    }

    /** Guards against outcomes that are not counted, and against an in-flight gauge that does not return to zero. */
    @Test
    fun `each request is counted under its result`() {
        CallerServer(generate).use { server ->
            server.runAllOutcomes()
            server.awaitIdle()
            val text = server.get("/metrics").use { it.body.string() }
            mapOf(
                "ok" to 1,
                "bad_request" to 2,
                "unauthenticated" to 1,
                "internal" to 1,
                "no_upstream" to 1,
            ).forEach { (kind, count) ->
                expectThat(text).contains("godwitwick_requests_total{result=\"$kind\"} $count.0")
            }
            expectThat(text).contains("godwitwick_requests_in_flight 0.0")
            expectThat(CallerServer.KEY in text).isFalse()
        }
    }

    /** Guards against a request that stays counted as in flight after its caller disconnected. */
    @Test
    fun `a stream whose caller disconnects is counted as cancelled`() {
        CallerServer(generate).use { server ->
            generate.events.put(TokenEvent.Token(0, "a"))
            server.complete(stream = true).use { it.body.source().readUtf8Line() }
            var index = 1
            while (server.inFlight.count > 0) {
                generate.events.put(TokenEvent.Token(index++, "b"))
                Thread.sleep(5)
            }
            expectThat(server.metrics.render()).contains("godwitwick_requests_total{result=\"cancelled\"} 1.0")
        }
    }

    private fun CallerServer.runAllOutcomes() {
        generate.events.put(TokenEvent.Done(0))
        complete(stream = true).use { expectThat(it.body.string()).contains("[DONE]") }
        post("/v1/completions", """{"model":"menu","prompt":"x","max_tokens":"${CallerServer.PROMPT}"}""").close()
        post("/v1/completions", "{}", key = "wrong-key").close()
        generate.onStart = { request -> throw IllegalArgumentException("can't accept ${request.prompt}") }
        complete(stream = false).use { expectThat(it.code).isEqualTo(400) }
        generate.onStart = { request -> error("can't place ${request.prompt}") }
        complete(stream = false).use { expectThat(it.code).isEqualTo(500) }
        generate.onStart = { Err(Failure(ErrorKind.NO_UPSTREAM, "no live replica")) }
        complete(stream = true).use { expectThat(it.code).isEqualTo(503) }
    }

    private fun captured(action: (CallerServer) -> Unit): String {
        val root = LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME) as Logger
        val previous = root.level
        val appender = TextAppender().apply { start() }
        root.level = Level.ALL
        root.addAppender(appender)
        try {
            CallerServer(generate).use { server ->
                action(server)
                server.awaitIdle()
            }
        } finally {
            root.detachAppender(appender)
            root.level = previous
        }
        return appender.text.toString()
    }

    private class TextAppender : AppenderBase<ILoggingEvent>() {
        val text = StringBuilder()

        override fun append(event: ILoggingEvent) {
            text.appendLine(
                "${event.mdcPropertyMap} ${event.formattedMessage} ${ThrowableProxyUtil.asString(event.throwableProxy)}",
            )
        }
    }
}
