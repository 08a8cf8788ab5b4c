package org.godwitwick.node.forward

import okhttp3.Call
import okhttp3.ConnectionPool
import okhttp3.Headers
import okhttp3.HttpUrl.Companion.toHttpUrlOrNull
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.Request
import okhttp3.Response
import org.godwitwick.core.forward.AttemptEnd
import org.godwitwick.node.upstream.OneShotBody
import org.godwitwick.node.upstream.WriteGate
import org.godwitwick.node.upstream.WriteGateInterceptor
import org.godwitwick.node.upstream.noRetryClientBuilder
import org.godwitwick.node.upstream.plainHttp
import java.io.IOException
import java.util.concurrent.TimeUnit

/** What came back for one send. */
sealed interface SendResult {
    /** The head of an answer has come; [close] ends the call. */
    class Open(val head: AnswerHead, val response: Response, private val call: Call) : SendResult {
        /** Ends the call; its connection is used again only when the whole body was read. */
        fun close() = response.close()

        /** Ends the call and closes its connection. */
        fun abort() = call.cancel()
    }

    /** The send has ended; [faultyAddress] is the upstream that caused a refusal, where it is another one. */
    class Ended(val end: AttemptEnd, val faultyAddress: String? = null) : SendResult
}

/**
 * Sends requests to upstreams over HTTP/1.1. It never repeats a send.
 *
 * @param connectTimeoutMs time in which a connection has to be established.
 */
class ForwardClient(private val dialect: ForwardDialect, connectTimeoutMs: Long) {
    private val pooled = noRetryClientBuilder().plainHttp()
        .connectTimeout(connectTimeoutMs, TimeUnit.MILLISECONDS)
        // The run guard ends calls that are silent or take too long.
        .readTimeout(0, TimeUnit.MILLISECONDS)
        .writeTimeout(0, TimeUnit.MILLISECONDS)
        .connectionPool(ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_MS, TimeUnit.MILLISECONDS))
        .addNetworkInterceptor(WriteGateInterceptor)
        .build()

    // A connection that the upstream has just closed would end a call after its first byte, with an unknown outcome.
    private val unpooled = pooled.newBuilder().connectionPool(ConnectionPool(0, 1, TimeUnit.NANOSECONDS)).build()

    /** Why [request] can't be sent unchanged, or null when it can. */
    fun faultOf(request: CallerRequest): String? {
        val url = "http://$ANY_HOST${request.target}".toHttpUrlOrNull() ?: return "the target is not valid"
        // The library rewrites some targets, such as those with dot segments.
        if (url.encodedPath + (url.encodedQuery?.let { "?$it" } ?: "") !=
            request.target
        ) {
            return "the target is not in its plain form"
        }
        return try {
            Headers.Builder().apply { request.headers.forEach { (name, value) -> add(name, value) } }
            null
        } catch (_: IllegalArgumentException) {
            "a header holds characters that are not allowed"
        }
    }

    /** Sends [call] with [body]; a call that isn't [isIdempotent] gets a connection of its own. [guard] may cancel it. */
    fun send(call: UpstreamCall, body: ByteArray, isIdempotent: Boolean, guard: RunGuard, started: (Call) -> Unit): SendResult {
        val gate = WriteGate()
        val sent = (if (isIdempotent) pooled else unpooled).newCall(requestOf(call, body, gate))
        started(sent)
        return try {
            headOf(call, sent, sent.execute())
        } catch (e: IOException) {
            SendResult.Ended(endOf(e, gate, guard))
        }
    }

    /** Sends an order to the engine at [address] and returns the status of the reply, or null when none came. */
    fun order(address: String, order: EngineOrderCall, timeoutMs: Long): Int? {
        val request = Request.Builder().url("http://$address${order.path}")
            .tag(WriteGate::class.java, WriteGate())
            .post(OneShotBody(order.json.toByteArray(), JSON_MEDIA_TYPE))
        order.headers.forEach { (name, value) -> request.header(name, value) }
        val call = pooled.newCall(request.build())
        call.timeout().timeout(timeoutMs, TimeUnit.MILLISECONDS)
        return try {
            call.execute().use { it.code }
        } catch (_: IOException) {
            null
        }
    }

    private fun headOf(call: UpstreamCall, sent: Call, response: Response): SendResult {
        val head = dialect.decodeHead(response.code, response.headers)
        val open = SendResult.Open(head, response, sent)
        val fault = faultOf(call, head)
        if (fault != null) {
            open.abort()
            open.close()
            return SendResult.Ended(AttemptEnd.Broken(fault))
        }
        if (!head.isNotRun) return open
        open.close()
        return SendResult.Ended(AttemptEnd.Refused(head.status, head.retryAfterMs), head.faultyAddress)
    }

    private fun faultOf(call: UpstreamCall, head: AnswerHead): String? = when {
        head.requestId != null && head.requestId != call.request.id -> "the upstream answered another request"

        head.isNotRun -> null

        head.isEncoded -> "the answer has an encoding that was not asked for"

        head.status in SUCCESS && !head.isSigned -> "the answer has no signature"

        // To callers these statuses say that the request did not run, which the upstream has not said.
        head.status in NOT_RUN_STATUSES -> "the upstream answered ${head.status} without saying that it did not run the request"

        else -> null
    }

    private fun endOf(e: IOException, gate: WriteGate, guard: RunGuard): AttemptEnd {
        val cause = guard.causeOf(e)
        return if (gate.mayBeWritten) AttemptEnd.Broken(cause) else AttemptEnd.NotSent(cause)
    }

    private fun requestOf(call: UpstreamCall, body: ByteArray, gate: WriteGate): Request {
        val request = Request.Builder().url(
            "http://${call.upstream.address}${call.request.target}",
        ).tag(WriteGate::class.java, gate)
        val encoded = dialect.encode(call)
        encoded.forEach { (name, value) -> request.addHeader(name, value) }
        // Without these OkHttp would add its own.
        if (encoded.none { it.first.equals(ACCEPT_ENCODING, ignoreCase = true) }) request.header(ACCEPT_ENCODING, "identity")
        // The caller's own Content-Type is among the headers.
        val content = if (call.request.method in METHODS_WITHOUT_BODY) null else OneShotBody(body, null)
        return request.method(call.request.method, content).build()
    }

    private companion object {
        const val MAX_IDLE_CONNECTIONS = 256

        /** Shorter than the idle timeout that upstreams state, of 5 s and more. */
        const val IDLE_MS = 4_000L
        val JSON_MEDIA_TYPE = "application/json".toMediaType()
        const val ANY_HOST = "127.0.0.1"
        const val ACCEPT_ENCODING = "Accept-Encoding"
        val METHODS_WITHOUT_BODY = setOf("GET", "HEAD")
        val SUCCESS = 200..299
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
    }
}
