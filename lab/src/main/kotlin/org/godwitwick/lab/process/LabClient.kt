package org.godwitwick.lab.process

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.util.concurrent.TimeUnit

/**
 * Outcome of one streamed request, as its caller saw it. Times are values of [System.nanoTime].
 *
 * @property status HTTP status, or 0 if there was no response.
 * @property requestId value of the response header `Request-Id`, or null if there was none.
 * @property events contents of the `data:` lines of the response; all lines of a response whose status is not 200.
 * @property firstTokenNanos time of the first `data:` line, or null if there was none.
 * @property readError why the call failed or the body ended early, or null if the body was read to its end.
 */
data class StreamResult(
    val status: Int,
    val requestId: String?,
    val events: List<String>,
    val sentNanos: Long,
    val firstTokenNanos: Long?,
    val endNanos: Long,
    val readError: String? = null,
) {
    /** Whether the whole answer arrived, including the `[DONE]` event. */
    val isComplete: Boolean get() = status == 200 && readError == null && events.lastOrNull() == "[DONE]"

    /** Number of tokens that arrived. */
    val tokens: Int get() = events.count { "\"choices\"" in it }

    /** Error kind stated in the response, or null if there is none. */
    val errorKind: String? get() = events.firstNotNullOfOrNull { errorPattern.find(it) }?.groupValues?.get(1)

    /** Time from sending the request to the end of the response, in milliseconds. */
    val elapsedMs: Long get() = (endNanos - sentNanos) / 1_000_000

    private companion object {
        val errorPattern = Regex("""^\{"error":\{"kind":"([a-z_]+)"""")
    }
}

/** HTTP client that plays the caller of entry instances, and controls stand-ins. */
object LabClient {
    private const val CALL_TIMEOUT_MS = 30_000L
    private const val DATA_PREFIX = "data: "
    private val jsonType = "application/json".toMediaType()
    private val client = OkHttpClient.Builder()
        .retryOnConnectionFailure(false)
        .callTimeout(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .readTimeout(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .build()

    /** Status of `GET` [path], or 0 if there is no response. */
    fun status(address: String, path: String): Int = try {
        client.newCall(Request.Builder().url("http://$address$path").build()).execute().use { it.code }
    } catch (_: IOException) {
        0
    }

    /** Response body of `GET` [path], whatever the status. */
    fun text(address: String, path: String, key: String? = null): String {
        val request = Request.Builder().url("http://$address$path")
        if (key != null) request.header("Authorization", "Bearer $key")
        return client.newCall(request.build()).execute().use { it.body.string() }
    }

    /**
     * Sends `POST` [path] with the API key [key] and reads the whole response. Does not throw [IOException] if the call fails.
     */
    fun post(address: String, path: String, body: String, key: String, headers: Map<String, String> = emptyMap()): CallResult {
        val request = Request.Builder().url("http://$address$path")
            .header("Authorization", "Bearer $key")
            .post(body.toRequestBody(jsonType))
        headers.forEach { (name, value) -> request.header(name, value) }
        return try {
            client.newCall(request.build()).execute().use { CallResult(it.code, it.body.string()) }
        } catch (e: IOException) {
            CallResult(0, e.toString())
        }
    }

    /** Replaces the rows of the instance list stand-in. */
    fun putList(address: String, rows: List<JsonObject>) {
        val body = "{\"instances\":$rows}".toRequestBody(jsonType)
        client.newCall(Request.Builder().url("http://$address/instances").put(body).build()).execute().use {
            check(it.isSuccessful)
        }
    }

    /**
     * Requests a streamed completion and reads the response to its end. Does not throw [IOException] if the call fails.
     *
     * @param timeoutMs value of the header `Request-Timeout-Ms`, or null to omit it.
     * @param onFirstToken called after the first `data:` line was read.
     */
    fun stream(
        address: String,
        prompt: String,
        maxTokens: Int,
        timeoutMs: Long? = null,
        model: String = "menu",
        key: String = ProcessFleet.CALLER_KEY,
        onFirstToken: () -> Unit = {},
    ): StreamResult {
        val body = buildJsonObject {
            put("model", model)
            put("prompt", prompt)
            put("max_tokens", maxTokens)
            put("stream", true)
        }
        val request = Request.Builder()
            .url("http://$address/v1/completions")
            .header("Authorization", "Bearer $key")
            .apply { if (timeoutMs != null) header("Request-Timeout-Ms", timeoutMs.toString()) }
            .post(body.toString().toRequestBody(jsonType))
            .build()
        return read(request, onFirstToken)
    }

    private fun read(request: Request, onFirstToken: () -> Unit): StreamResult {
        val sent = System.nanoTime()
        var seen = StreamResult(0, null, emptyList(), sent, null, sent)
        return try {
            client.newCall(request).execute().use { response ->
                seen = seen.copy(status = response.code, requestId = response.header("Request-Id"))
                val source = response.body.source()
                while (true) {
                    val line = source.readUtf8Line() ?: break
                    if (response.code != 200) seen = seen.copy(events = seen.events + line)
                    if (!line.startsWith(DATA_PREFIX)) continue
                    val isFirst = seen.firstTokenNanos == null
                    val first = seen.firstTokenNanos ?: System.nanoTime()
                    seen = seen.copy(events = seen.events + line.removePrefix(DATA_PREFIX), firstTokenNanos = first)
                    if (isFirst) onFirstToken()
                }
                seen.copy(endNanos = System.nanoTime())
            }
        } catch (e: IOException) {
            seen.copy(endNanos = System.nanoTime(), readError = e.toString())
        }
    }
}
