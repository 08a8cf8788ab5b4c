package org.godwitwick.node.upstream

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import okhttp3.Call
import okhttp3.HttpUrl.Companion.toHttpUrl
import okhttp3.OkHttpClient
import okhttp3.Protocol
import okhttp3.Request
import okhttp3.Response
import org.godwitwick.core.model.RequestId
import org.godwitwick.node.memory.BodyShare
import org.godwitwick.node.memory.readWhole
import org.slf4j.LoggerFactory
import java.io.IOException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.LongAdder

/**
 * A call to a plain service.
 *
 * @property path decoded path after the name of the service, with a leading slash.
 * @property query raw query string, or empty if there is none.
 * @property share memory for [body], which it holds already, and for the answer.
 */
class ServiceCall(
    val id: RequestId,
    val method: String,
    val path: String,
    val query: String,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
    val share: BodyShare,
)

/** The answer of a service; [body] is null if it exceeded the limit of the client or the memory for bodies. */
class ServiceAnswer(val status: Int, val headers: List<Pair<String, String>>, val body: ByteArray?)

/** Client of plain services. It never repeats a call. */
class ServiceClient(client: OkHttpClient, private val maxAnswerBytes: Long = DEFAULT_MAX_ANSWER_BYTES) {
    private val pooled = client.newBuilder()
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .protocols(listOf(Protocol.HTTP_1_1))
        .addNetworkInterceptor(WriteGateInterceptor)
        .eventListener(WriteFailureListener())
        .build()

    // On an idle connection that the service has closed, a call would fail after its first byte, with an unknown outcome. There
    // is no read timeout, only the deadline, because the call cannot be retried elsewhere.
    private val unpooled = pooled.newBuilder()
        .connectionPool(singleUsePool())
        .readTimeout(0, TimeUnit.MILLISECONDS)
        .build()

    private val crossedAnswerCount = LongAdder()

    /** Number of answers that belonged to another request and were dropped. */
    val crossedAnswers: Long get() = crossedAnswerCount.sum()

    /** Sends an idempotent [call], possibly on a pooled connection. The error is a description of the cause. */
    fun send(address: String, call: ServiceCall, timeoutMs: Long): Result<ServiceAnswer, String> =
        send(pooled, address, call, WriteGate(), timeoutMs)

    /** Sends [call] on a new connection. After a failure, [gate] tells whether a byte of the call may have been written. */
    fun sendOnce(address: String, call: ServiceCall, gate: WriteGate, timeoutMs: Long): Result<ServiceAnswer, String> =
        send(unpooled, address, call, gate, timeoutMs)

    private fun send(
        client: OkHttpClient,
        address: String,
        call: ServiceCall,
        gate: WriteGate,
        timeoutMs: Long,
    ): Result<ServiceAnswer, String> {
        if (timeoutMs <= 0) return Err("no time left before the deadline of the call: $timeoutMs ms")
        return try {
            val sent = client.newCall(requestOf(address, call, gate))
            sent.timeout().timeout(timeoutMs, TimeUnit.MILLISECONDS)
            sent.execute().use { read(sent, it, call, gate) }
        } catch (_: RepeatedRequestException) {
            send(unpooled, address, call, gate, timeoutMs)
        } catch (e: IOException) {
            Err("no answer from the service: ${e.message}")
        } catch (e: IllegalArgumentException) {
            Err("the call cannot be sent: ${e.message}")
        }
    }

    private fun read(sent: Call, response: Response, call: ServiceCall, gate: WriteGate): Result<ServiceAnswer, String> {
        if (!isAnswerTo(call, response)) {
            sent.cancel()
            crossedAnswerCount.increment()
            log.warn("http: service at {} answered request {} with the answer to another", sent.request().url.host, call.id)
            return Err("the service answered another request")
        }
        if (gate.hasWriteFailed && !AnswerFraming.statesItsEnd(response)) {
            sent.cancel()
            return Err("the connection to the service was lost while the call was written")
        }
        val headers = response.headers.toList() + listOfNotNull(gate.retryAfter?.let { "Retry-After" to it })
        val source = response.body.source()
        // An answer without a body may state the length of the one it stands for.
        val hasBody = call.method != "HEAD" && response.code != NOT_MODIFIED
        val statedBytes = if (hasBody) response.body.contentLength() else 0
        val body = source.readWhole(statedBytes, maxAnswerBytes, call.share, call.body.size.toLong())
        if (body == null) sent.cancel()
        return Ok(ServiceAnswer(response.code, headers, body))
    }

    // The id or the idempotency key in an answer, if the service returns it, identifies the request that is answered.
    private fun isAnswerTo(call: ServiceCall, response: Response): Boolean {
        val id = response.header(REQUEST_ID)
        val key = response.header(IDEMPOTENCY_KEY)
        val sentKey = call.headers.firstOrNull { it.first.equals(IDEMPOTENCY_KEY, ignoreCase = true) }?.second
        return (id == null || id == call.id.value) && (key == null || key.equals(sentKey, ignoreCase = true))
    }

    private fun requestOf(address: String, call: ServiceCall, gate: WriteGate): Request {
        val url = "http://$address/".toHttpUrl().newBuilder()
        val segments = call.path.removePrefix("/").split('/')
        segments.forEachIndexed { index, segment ->
            if (index ==
                0
            ) {
                url.setPathSegment(0, segment)
            } else {
                url.addPathSegment(segment)
            }
        }
        if (call.query.isNotEmpty()) url.encodedQuery(call.query)
        val body = if (call.method in METHODS_WITHOUT_BODY) null else OneShotBody(call.body, null)
        val request = Request.Builder().url(url.build()).method(call.method, body)
            .tag(WriteGate::class.java, gate)
            .tag(AnswerIdentity::class.java, AnswerIdentity(REQUEST_ID, call.id.value))
        call.headers.forEach { (name, value) -> request.addHeader(name, value) }
        // Without this header OkHttp would request gzip.
        return request.header("Accept-Encoding", "identity").header(REQUEST_ID, call.id.value).build()
    }

    companion object {
        /** Header with the idempotency key of the caller. */
        const val IDEMPOTENCY_KEY = "Idempotency-Key"

        /** Header with the log offset of the claim, set for calls that must run at most once. */
        const val FENCING_NUMBER = "Fencing-Number"

        /** Header with the id of the request. */
        const val REQUEST_ID = "Request-Id"

        private val log = LoggerFactory.getLogger(ServiceClient::class.java)
        private const val DEFAULT_MAX_ANSWER_BYTES = 16L * 1024 * 1024
        private const val NOT_MODIFIED = 304
        private val METHODS_WITHOUT_BODY = setOf("GET", "HEAD")
    }
}
