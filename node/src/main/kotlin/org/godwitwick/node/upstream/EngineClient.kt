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

/** Calls the engines' published protocol. It never retries. All addresses are `ip:port`; each timeout bounds the whole call. */
class EngineClient(client: OkHttpClient, private val counters: UpstreamCounters = UpstreamCounters()) {
    private val client = client.newBuilder().eventListener(ConnectionWatch).build()

    /** Starts [message]. [onCall] gets the call before it is executed, to cancel it from another thread. */
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

    /** Starts the prefill of a segment; its stream has one event, [EngineStreamEvent.Prefilled]. */
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

    /** Reads the load report. */
    fun load(address: String, timeoutMs: Long): Result<EngineLoadReport, EngineFailure> =
        simple(get(address, "/v1/load"), timeoutMs) { lenientJson.decodeFromString<EngineLoadReport>(it) }

    /** Reads the present holds. */
    fun holds(address: String, timeoutMs: Long): Result<List<EngineHold>, EngineFailure> =
        simple(get(address, "/v1/holds"), timeoutMs) { lenientJson.decodeFromString<EngineHoldList>(it).holds }

    /** Reserves KV memory. */
    fun reserve(address: String, hold: EngineHold, timeoutMs: Long, onCall: (Call) -> Unit = {}): Result<Unit, EngineFailure> =
        simple(post(address, "/v1/holds", Json.encodeToString(hold)), timeoutMs, onCall) { }

    /** Frees the hold with [holdId]. A hold that is not there counts as freed. */
    fun release(address: String, holdId: String, timeoutMs: Long): Result<Unit, EngineFailure> =
        gone(simple(Request.Builder().url("http://$address/v1/holds/$holdId").delete().build(), timeoutMs) { })

    /** Cancels the work of [requestId]. Work that is not there counts as cancelled. */
    fun cancel(address: String, requestId: String, timeoutMs: Long): Result<Unit, EngineFailure> =
        gone(simple(post(address, "/v1/cancel", Json.encodeToString(EngineCancel(requestId))), timeoutMs) { })

    /** Issues an order. */
    fun order(address: String, order: EngineOrderMessage, timeoutMs: Long): Result<Unit, EngineFailure> =
        simple(post(address, "/v1/orders", Json.encodeToString(order)), timeoutMs) { }

    private fun gone(result: Result<Unit, EngineFailure>): Result<Unit, EngineFailure> {
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

    private fun <T> simple(
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
            Err(EngineFailure.ConnectionLost("engine answer broke: ${e.message}", wasAccepted = true))
        } catch (_: IllegalArgumentException) {
            Err(EngineFailure.Misbehaved("engine answer not understood"))
        }
    }

    // OkHttp takes a timeout of 0 for none.
    private fun callOf(request: Request, timeoutMs: Long): Call =
        client.newCall(request).apply { timeout().timeout(timeoutMs.coerceAtLeast(1), TimeUnit.MILLISECONDS) }

    private fun execute(call: Call): Result<Response, EngineFailure> = try {
        val response = call.execute()
        if (response.isSuccessful) Ok(response) else response.use { Err(EngineFailure.Refused(it.code, reasonOf(it))) }
    } catch (e: ConnectException) {
        Err(EngineFailure.NotReached("engine not reached: ${e.message}"))
    } catch (e: InterruptedIOException) {
        counters.stalls.increment()
        Err(EngineFailure.Stalled("no answer from the engine: ${e.message}"))
    } catch (e: IOException) {
        val isNew = call.request().tag(ConnectionTrace::class.java)?.isNew == true
        Err(EngineFailure.ConnectionLost("engine connection lost: ${e.message}", wasAccepted = isNew))
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

    // A pooled connection may have died with an earlier incarnation, before this request was written. Only on a new one is a loss
    // known to have hit an engine that had the request.
    private object ConnectionWatch : EventListener() {
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
