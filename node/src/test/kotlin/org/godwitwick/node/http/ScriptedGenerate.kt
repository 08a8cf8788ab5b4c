package org.godwitwick.node.http

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.godwitwick.core.config.BuiltInConfig
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.GenerateRequest
import org.godwitwick.core.model.OrganisationId
import org.godwitwick.core.model.RequestId
import org.godwitwick.node.metrics.NodeMetrics
import org.godwitwick.node.security.KeyEntry
import org.godwitwick.node.security.KeyRing
import org.godwitwick.node.security.sha256Hex
import org.godwitwick.node.upstream.GenerateService
import org.godwitwick.node.upstream.TokenEvent
import org.godwitwick.node.upstream.TokenStream
import org.http4k.routing.routes
import java.util.concurrent.BlockingQueue
import java.util.concurrent.LinkedBlockingQueue

/**
 * Answers requests with the events that the test puts into [events], a queue shared by all requests unless [onStart] is replaced.
 */
class ScriptedGenerate : GenerateService {
    val events = LinkedBlockingQueue<TokenEvent>()
    var onStart: (GenerateRequest) -> Result<TokenStream, Failure> = { Ok(stream()) }

    fun stream(events: BlockingQueue<TokenEvent> = this.events) = object : TokenStream {
        override fun next(): TokenEvent = events.take()

        override fun close() = Unit
    }

    override fun start(request: GenerateRequest): Result<TokenStream, Failure> = onStart(request)

    override fun cancel(organisation: OrganisationId, id: RequestId): Boolean = false
}

/** A server on a free port with the routes for callers and for the platform. */
class CallerServer(val generate: ScriptedGenerate, sleep: (Long) -> Unit = { }) : AutoCloseable {
    val metrics = NodeMetrics()
    val gate = ReadinessGate()
    val inFlight = InFlightExchanges()
    val drain = Drain(gate, inFlight, NOTICE_MS, System::currentTimeMillis, sleep)
    private val callers = CallerRoutes(
        keys = KeyRing(listOf(KeyEntry(sha256Hex(KEY), organisation = "caterer"))),
        generate = generate,
        config = { BuiltInConfig },
        nowMs = System::currentTimeMillis,
        metrics = metrics,
        refusal = drain::refusal,
        onDeadline = inFlight::extendDeadline,
    )
    private val server = StreamingUndertow("127.0.0.1", 0, 8, inFlight = inFlight, isClosing = drain::isDraining)
        .toServer(routes(callers.routes(), OperationRoutes(gate, metrics).routes()))
        .start()
    private val client = OkHttpClient()

    fun get(path: String): Response =
        client.newCall(Request.Builder().url("http://127.0.0.1:${server.port()}$path").build()).execute()

    fun post(path: String, body: String, headers: Map<String, String> = emptyMap(), key: String = KEY): Response {
        val request = Request.Builder()
            .url("http://127.0.0.1:${server.port()}$path")
            .header("Authorization", "Bearer $key")
            .post(body.toRequestBody())
        headers.forEach { (name, value) -> request.header(name, value) }
        return client.newCall(request.build()).execute()
    }

    fun awaitIdle() {
        while (inFlight.count > 0) Thread.sleep(5)
    }

    fun complete(stream: Boolean, headers: Map<String, String> = emptyMap()): Response =
        post("/v1/completions", """{"model":"menu","prompt":"$PROMPT","stream":$stream}""", headers)

    override fun close() {
        server.stop()
        client.connectionPool.evictAll()
        client.dispatcher.executorService.shutdown()
    }

    companion object {
        const val KEY = "sk-caterer-3141592653"
        const val PROMPT = "the grandmother's recipe for bsisa"
        const val NOTICE_MS = 3_000L
    }
}
