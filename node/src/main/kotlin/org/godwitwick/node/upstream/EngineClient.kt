package org.godwitwick.node.upstream

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import kotlinx.serialization.json.Json
import okhttp3.Call
import okhttp3.EventListener
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.Response
import org.godwitwick.core.health.EngineLoadReport
import java.io.IOException
import java.io.InterruptedIOException
import java.net.ConnectException
import java.net.InetSocketAddress
import java.net.Proxy
import java.util.concurrent.TimeUnit

/** Client of the engine protocol. It never retries a call. Addresses are `ip:port`; each timeout bounds the whole call. */
class EngineClient(client: OkHttpClient, private val counters: UpstreamCounters = UpstreamCounters()) {
    private val client = client.newBuilder().eventListener(NewConnectionListener).build()

    /** Starts a generation. [onCall] receives the call before it is executed, so that another thread can cancel it. */
    fun generate(
        address: String,
        message: EngineGenerate,
        timeoutMs: Long,
        onCall: (Call) -> Unit = {},
    ): Result<EngineStream, EngineFailure> = openStream(
        post(address, "/v1/generate", Json.encodeToString(message)),
        message.requestId,
        message.resumeTokens.size,
        timeoutMs,
        onCall,
    )

    /** Starts the prefill of a segment. On success the stream has a single event, [EngineStreamEvent.Prefilled]. */
    fun prefill(
        address: String,
        message: EnginePrefill,
        timeoutMs: Long,
        onCall: (Call) -> Unit = {},
    ): Result<EngineStream, EngineFailure> = openStream(
        post(address, "/v1/prefill", Json.encodeToString(message)),
        message.requestId,
        0,
        timeoutMs,
        onCall,
    )

    /** Reads the load report of the engine. */
    fun load(address: String, timeoutMs: Long): Result<EngineLoadReport, EngineFailure> =
        callAndDecode(get(address, "/v1/load"), timeoutMs) { lenientJson.decodeFromString<EngineLoadReport>(it) }

    /** Reads the current holds of the engine. */
    fun holds(address: String, timeoutMs: Long): Result<List<EngineHold>, EngineFailure> =
        callAndDecode(get(address, "/v1/holds"), timeoutMs) { lenientJson.decodeFromString<EngineHoldList>(it).holds }

    /** Reserves KV memory as described by [hold]. */
    fun reserve(address: String, hold: EngineHold, timeoutMs: Long, onCall: (Call) -> Unit = {}): Result<Unit, EngineFailure> =
        callAndDecode(post(address, "/v1/holds", Json.encodeToString(hold)), timeoutMs, onCall) { }

    /** Releases the hold with [holdId]. Succeeds if the hold does not exist. */
    fun release(address: String, holdId: String, timeoutMs: Long): Result<Unit, EngineFailure> =
        notFoundAsOk(callAndDecode(Request.Builder().url("http://$address/v1/holds/$holdId").delete().build(), timeoutMs) { })

    /** Cancels the work of [requestId]. Succeeds if there is no such work. */
    fun cancel(address: String, requestId: String, timeoutMs: Long): Result<Unit, EngineFailure> =
        notFoundAsOk(callAndDecode(post(address, "/v1/cancel", Json.encodeToString(EngineCancel(requestId))), timeoutMs) { })

    /** Issues an order to the engine. */
    fun order(address: String, order: EngineOrderMessage, timeoutMs: Long): Result<Unit, EngineFailure> =
        callAndDecode(post(address, "/v1/orders", Json.encodeToString(order)), timeoutMs) { }

    private fun notFoundAsOk(result: Result<Unit, EngineFailure>): Result<Unit, EngineFailure> {
        val failure = result.component2() as? EngineFailure.Refused ?: return result
        return if (failure.status == NOT_FOUND) Ok(Unit) else result
    }

    private fun openStream(
        request: Request,
        requestId: String,
        nextIndex: Int,
        timeoutMs: Long,
        onCall: (Call) -> Unit,
    ): Result<EngineStream, EngineFailure> {
        val call = callOf(request, timeoutMs).also(onCall)
        return execute(call).map { EngineStream(call, it, requestId, nextIndex, counters) }
    }

    private fun <T> callAndDecode(
        request: Request,
        timeoutMs: Long,
        onCall: (Call) -> Unit = {},
        decode: (String) -> T,
    ): Result<T, EngineFailure> {
        val call = callOf(request, timeoutMs).also(onCall)
        val result = execute(call)
        val response = result.component1() ?: return Err(result.component2()!!)
        return try {
            Ok(response.use { decode(it.body.string()) })
        } catch (e: IOException) {
            Err(EngineFailure.ConnectionLost("engine connection lost while reading the answer: ${e.message}", wasAccepted = true))
        } catch (_: IllegalArgumentException) {
            Err(EngineFailure.ProtocolViolation("engine answer could not be decoded"))
        }
    }

    // OkHttp treats a timeout of 0 as no timeout.
    private fun callOf(request: Request, timeoutMs: Long): Call =
        client.newCall(request).apply { timeout().timeout(timeoutMs.coerceAtLeast(1), TimeUnit.MILLISECONDS) }

    private fun execute(call: Call): Result<Response, EngineFailure> = try {
        val response = call.execute()
        if (response.isSuccessful) Ok(response) else response.use { Err(EngineFailure.Refused(it.code, reasonOf(it))) }
    } catch (e: ConnectException) {
        Err(EngineFailure.Unreachable("engine unreachable: ${e.message}"))
    } catch (e: InterruptedIOException) {
        counters.stalls.increment()
        Err(EngineFailure.Stalled("no answer from the engine: ${e.message}"))
    } catch (e: IOException) {
        val wasAccepted = e is MalformedAnswerException || call.request().tag(ConnectionTrace::class.java)?.isNew == true
        Err(EngineFailure.ConnectionLost("engine connection lost: ${e.message}", wasAccepted))
    }

    private fun reasonOf(response: Response): String = try {
        lenientJson.decodeFromString<EngineRefusal>(response.body.string()).reason
    } catch (_: IllegalArgumentException) {
        ""
    } catch (_: IOException) {
        ""
    }

    private fun get(address: String, path: String): Request = Request.Builder().url("http://$address$path").build()

    private fun post(address: String, path: String, json: String): Request = Request.Builder()
        .url("http://$address$path")
        .post(OneShotBody(json.toByteArray(), JSON_MEDIA_TYPE))
        .tag(ConnectionTrace::class.java, ConnectionTrace())
        .build()

    private class ConnectionTrace {
        @Volatile
        var isNew = false
    }

    // A pooled connection may have been closed by the end of an earlier incarnation, before this request was written. Only the
    // loss of a new connection shows that the engine had the request.
    private object NewConnectionListener : EventListener() {
        override fun connectStart(call: Call, inetSocketAddress: InetSocketAddress, proxy: Proxy) {
            call.request().tag(ConnectionTrace::class.java)?.isNew = true
        }
    }

    private companion object {
        const val NOT_FOUND = 404
        val JSON_MEDIA_TYPE = "application/json".toMediaType()
        val lenientJson = Json { ignoreUnknownKeys = true }
    }
}
