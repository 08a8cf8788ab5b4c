package org.godwitwick.node.http

import com.github.michaelbull.result.Ok
import okhttp3.Response
import org.godwitwick.core.model.Deadline
import org.godwitwick.node.upstream.TokenEvent
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.isEqualTo
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

@Timeout(30)
class DrainTest {
    private val noticePassed = CountDownLatch(1)
    private val generate = ScriptedGenerate()
    private val streamed = LinkedBlockingQueue<TokenEvent>()

    /**
     * Guards against a shutdown that breaks streams, that leaves the instance ready, or that refuses before the load balancer
     * noticed.
     */
    @Test
    fun `a drain fails readiness immediately, serves during the notice period, then refuses, and ends after the last stream`() {
        CallerServer(generate, sleep = { noticePassed.await() }).use { server ->
            val stream = firstTokenOf(server)
            val drained = CompletableFuture.supplyAsync(server.drain::await)
            awaitTrue { server.drain.isDraining }
            server.get("/readyz").use {
                expectThat(it.code).isEqualTo(503)
                expectThat(it.body.string()).contains("\"draining\"")
            }
            server.get("/livez").use { expectThat(it.code).isEqualTo(200) }
            generate.onStart = { Ok(generate.stream()) }
            generate.events.put(TokenEvent.Done(0))
            server.complete(stream = false).use { expectThat(it.code).isEqualTo(200) }
            noticePassed.countDown()
            awaitTrue { server.drain.refusal() != null }
            server.complete(stream = false).use {
                expectThat(it.code).isEqualTo(503)
                expectThat(it.header("Connection")).isEqualTo("close")
                expectThat(it.body.string()).contains("\"kind\":\"draining\"").contains("\"ran\":\"no\"")
            }
            expectThat(drained.isDone).isEqualTo(false)
            streamed.put(TokenEvent.Token(1, "b"))
            streamed.put(TokenEvent.Done(2))
            expectThat(stream.use { it.body.string() }).contains("b").endsWith("data: [DONE]\n\n")
            expectThat(drained.get(10, TimeUnit.SECONDS)).isEqualTo(0)
        }
    }

    /** Guards against a process that never exits because one exchange never ends. */
    @Test
    fun `the wait for exchanges is bounded by the latest deadline`() {
        var now = 1_000L
        val inFlight = InFlightExchanges()
        inFlight.add()
        inFlight.extendDeadline(Deadline(5_000))
        val remaining = inFlight.awaitNone({ now.also { now += 4_000 } }, graceMs = 100)
        expectThat(remaining).isEqualTo(1)
    }

    private fun firstTokenOf(server: CallerServer): Response {
        generate.onStart = { Ok(generate.stream(streamed)) }
        streamed.put(TokenEvent.Token(0, "a"))
        return server.complete(stream = true).also { it.body.source().readUtf8Line() }
    }

    private fun awaitTrue(condition: () -> Boolean) {
        while (!condition()) Thread.sleep(5)
    }
}
