package org.godwitwick.node.forward

import okhttp3.Call
import okhttp3.ConnectionPool
import okhttp3.Headers
import okhttp3.HttpUrl.Companion.toHttpUrlOrNull
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.Request
import okhttp3.Response
import okio.blackholeSink
import org.godwitwick.core.forward.AttemptEnd
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.node.upstream.AnswerFraming
import org.godwitwick.node.upstream.AnswerIdentity
import org.godwitwick.node.upstream.MalformedAnswerException
import org.godwitwick.node.upstream.OneShotBody
import org.godwitwick.node.upstream.RepeatedRequestException
import org.godwitwick.node.upstream.WriteFailureListener
import org.godwitwick.node.upstream.WriteGate
import org.godwitwick.node.upstream.WriteGateInterceptor
import org.godwitwick.node.upstream.noRetryClientBuilder
import org.godwitwick.node.upstream.plainHttp
import org.godwitwick.node.upstream.singleUsePool
import java.io.IOException
import java.util.concurrent.TimeUnit

/**
 * Sends requests to upstreams over HTTP/1.1. It never retries a send.
 *
 * @param connectTimeoutMs time within which a connection must be established.
 * @param onStatement called with what an upstream states about itself in an answer.
 * @param onConnect notified of the outcome of each connection attempt to an upstream.
 * @param relayHeaders writes the header of relayed requests.
 */
class ForwardClient(
    private val dialect: ForwardDialect,
    connectTimeoutMs: Long,
    private val onStatement: (UpstreamEntry, UpstreamStatement) -> Unit,
    private val onConnect: ConnectListener,
    private val relayHeaders: RelayHeaders,
) {
    private val toPeers = noRetryClientBuilder().plainHttp()
        .connectTimeout(connectTimeoutMs, TimeUnit.MILLISECONDS)
        // RunGuard cancels calls that are silent or take too long.
        .readTimeout(0, TimeUnit.MILLISECONDS)
        .writeTimeout(0, TimeUnit.MILLISECONDS)
        .connectionPool(newPool())
        .addNetworkInterceptor(WriteGateInterceptor)
        .eventListener(WriteFailureListener())
        .build()
    private val toPeersUnpooled = toPeers.newBuilder().connectionPool(singleUsePool()).build()

    private val pooled = toPeers.newBuilder().connectionPool(newPool()).eventListener(ConnectObserver(onConnect)).build()

    // A pooled connection that the upstream has just closed could fail after the first byte was sent, with an unknown outcome.
    private val unpooled = pooled.newBuilder().connectionPool(singleUsePool()).build()

    /** Returns why [request] cannot be sent unchanged, or null if it can. */
    fun requestFaultOf(request: CallerRequest): String? {
        val url = "http://$PLACEHOLDER_HOST${request.target}".toHttpUrlOrNull() ?: return "the request target is not valid"
        // OkHttp rewrites some targets, such as those with dot segments.
        if (url.encodedPath + (url.encodedQuery?.let { "?$it" } ?: "") != request.target) {
            return "the request target is not in normalised form"
        }
        return try {
            Headers.Builder().apply { request.headers.forEach { (name, value) -> add(name, value) } }
            null
        } catch (_: IllegalArgumentException) {
            "a header contains characters that are not allowed"
        }
    }

    /**
     * Sends [call] with [body].
     *
     * @param needsNewConnection whether the call must not be sent on a kept connection: it may run once only, or was sent to this
     *   upstream before, whose earlier answer could be read once more.
     * @param guard may cancel the call; it states the cause of a cancellation.
     * @param onStart called with the OkHttp call before it is executed.
     */
    fun send(
        call: UpstreamCall,
        body: ByteArray,
        needsNewConnection: Boolean,
        guard: RunGuard,
        onStart: (Call) -> Unit,
    ): SendResult {
        val gate = WriteGate()
        val sent = (if (needsNewConnection) unpooled else pooled).newCall(requestOf(call, body, gate))
        onStart(sent)
        return try {
            headOf(call, sent, sent.execute(), gate)
        } catch (_: RepeatedRequestException) {
            send(call, body, needsNewConnection = true, guard, onStart)
        } catch (e: IOException) {
            SendResult.Ended(endOf(e, gate, guard))
        }
    }

    /** Closes the idle connections to upstreams, which may be silent for good. */
    fun closeIdle() = pooled.connectionPool.evictAll()

    /** Sends [call] with [body] to another instance; the other parameters are those of [send]. */
    internal fun relay(
        call: RelayCall,
        body: ByteArray,
        needsNewConnection: Boolean,
        guard: RunGuard,
        onStart: (Call) -> Unit,
    ): RelayResult {
        val gate = WriteGate()
        val headers = dialect.encodeRelayed(call) + relayHeaders.encode(call.hop, call.request.id)
        val url = "http://${call.peer.callerAddress}${call.request.target}"
        val client = if (needsNewConnection) toPeersUnpooled else toPeers
        val sent = client.newCall(requestOf(call.request, url, headers, body, gate))
        onStart(sent)
        return try {
            relayedHeadOf(call, sent, sent.execute(), gate)
        } catch (_: RepeatedRequestException) {
            relay(call, body, needsNewConnection = true, guard, onStart)
        } catch (e: IOException) {
            RelayResult(SendResult.Ended(endOf(e, gate, guard)), null)
        }
    }

    private fun relayedHeadOf(call: RelayCall, sent: Call, response: Response, gate: WriteGate): RelayResult {
        val outcome = RelayOutcome.ofText(response.header(RelayHeaders.OUTCOME))
        val head = headOf(response, gate)
        val open = SendResult.Open(head, response, sent, gate)
        val end = when {
            outcome == null || head.requestId != call.request.id || head.isAmbiguous ->
                AttemptEnd.Broken("the instance's answer is not for this request").also { open.abort() }

            outcome == RelayOutcome.UNABLE -> AttemptEnd.NotSent("the instance refused with ${head.status}")

            outcome == RelayOutcome.SERVED && head.status in AnswerCheck.NOT_EXECUTED_STATUSES ->
                AttemptEnd.Refused(head.status, head.retryAfterMs)

            else -> brokenEndOf(response, gate)?.also { open.abort() } ?: return RelayResult(open, outcome)
        }
        open.close()
        return RelayResult(SendResult.Ended(end), outcome)
    }

    /**
     * Sends [order] to the engine at [address]; returns the status of the reply, or null if there was no whole one within
     * [timeoutMs].
     */
    fun order(address: String, order: EngineOrderCall, timeoutMs: Long): Int? {
        val request = Request.Builder().url("http://$address${order.path}")
            .tag(WriteGate::class.java, WriteGate())
            .post(OneShotBody(order.json.toByteArray(), JSON_MEDIA_TYPE))
        order.headers.forEach { (name, value) -> request.header(name, value) }
        // A reply names no order, so that a late answer to an earlier request on a kept connection could pass for it.
        val call = unpooled.newCall(request.build())
        call.timeout().timeout(timeoutMs, TimeUnit.MILLISECONDS)
        return try {
            call.execute().use {
                it.body.source().readAll(blackholeSink())
                it.code
            }
        } catch (_: IOException) {
            null
        }
    }

    private fun headOf(call: UpstreamCall, sent: Call, response: Response, gate: WriteGate): SendResult {
        val head = headOf(response, gate)
        val open = SendResult.Open(head, response, sent, gate)
        // An answer that may belong to another request, of this upstream or of an earlier one at its address, states nothing.
        if (head.requestId == call.request.id && !head.isAmbiguous) onStatement(call.upstream, head.statement)
        val fault = AnswerCheck.faultOf(call, head)
        if (fault != null) {
            open.abort()
            open.close()
            return SendResult.Ended(AttemptEnd.Broken(fault))
        }
        if (head.isNotExecuted) {
            open.close()
            return SendResult.Ended(AttemptEnd.Refused(head.status, head.retryAfterMs), head.faultyAddress)
        }
        val brokenEnd = brokenEndOf(response, gate) ?: return open
        open.abort()
        open.close()
        return SendResult.Ended(brokenEnd)
    }

    // Returns how the send has ended if the end of the answer will not be known, otherwise null.
    private fun brokenEndOf(response: Response, gate: WriteGate): AttemptEnd? {
        if (!gate.hasWriteFailed || AnswerFraming.statesItsEnd(response)) return null
        // An upstream that answers without reading the request and closes regularly looks the same, so this is no sign of a crash.
        return AttemptEnd.Broken("the connection was lost while the request was written")
    }

    // Only an instance itself states how a relayed request has ended.
    private fun headOf(response: Response, gate: WriteGate): AnswerHead =
        dialect.decodeHead(response.code, withRetryAfter(response.headers, gate)).let { head ->
            head.copy(
                headers = head.headers.filterNot { RelayHeaders.isOwn(it.first) },
            )
        }

    // The interceptor removes the header of a 503, because OkHttp would act on it.
    private fun withRetryAfter(headers: Headers, gate: WriteGate): Headers =
        gate.retryAfter?.let { headers.newBuilder().set("Retry-After", it).build() } ?: headers

    private fun endOf(e: IOException, gate: WriteGate, guard: RunGuard): AttemptEnd {
        val cause = guard.causeOf(e)
        if (!gate.mayBeWritten) return AttemptEnd.NotSent(cause)
        return AttemptEnd.Broken(cause, isConnectionLost = guard.cancelReason == null && e !is MalformedAnswerException)
    }

    private fun requestOf(call: UpstreamCall, body: ByteArray, gate: WriteGate): Request =
        requestOf(call.request, "http://${call.upstream.address}${call.request.target}", dialect.encode(call), body, gate)

    private fun requestOf(
        request: CallerRequest,
        url: String,
        headers: List<Pair<String, String>>,
        body: ByteArray,
        gate: WriteGate,
    ): Request {
        val builder = Request.Builder().url(url)
            .tag(WriteGate::class.java, gate)
            .tag(AnswerIdentity::class.java, AnswerIdentity(dialect.requestIdHeader, request.id))
        headers.forEach { (name, value) -> builder.addHeader(name, value) }
        // Otherwise OkHttp would add its own Accept-Encoding.
        if (headers.none { it.first.equals(ACCEPT_ENCODING, ignoreCase = true) }) builder.header(ACCEPT_ENCODING, "identity")
        // The caller's Content-Type is among the headers.
        val content = if (request.method in METHODS_WITHOUT_BODY) null else OneShotBody(body, null)
        return builder.method(request.method, content).build()
    }

    private companion object {
        const val MAX_IDLE_CONNECTIONS = 256

        /** Shorter than the idle timeouts of upstreams, which are 5 s or more. */
        const val IDLE_TIMEOUT_MS = 4_000L
        val JSON_MEDIA_TYPE = "application/json".toMediaType()
        const val PLACEHOLDER_HOST = "127.0.0.1"
        const val ACCEPT_ENCODING = "Accept-Encoding"
        val METHODS_WITHOUT_BODY = setOf("GET", "HEAD")

        fun newPool() = ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
    }
}
