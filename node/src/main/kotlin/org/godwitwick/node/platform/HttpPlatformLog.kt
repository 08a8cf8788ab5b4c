package org.godwitwick.node.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.godwitwick.node.upstream.WriteGate
import org.godwitwick.node.upstream.WriteGateInterceptor
import java.io.IOException
import java.util.Base64
import java.util.concurrent.TimeUnit

/**
 * Accesses the platform's log over HTTP. Each call is sent at most once.
 *
 * @property readTimeoutMs timeout of a read, in addition to the time that the read waits for records.
 */
class HttpPlatformLog(client: OkHttpClient, private val url: String, private val readTimeoutMs: Long = DEFAULT_READ_TIMEOUT_MS) :
    PlatformLog {
    private val client = client.newBuilder()
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .addNetworkInterceptor(WriteGateInterceptor)
        // Each call sets its own timeout, because a long poll takes longer than the read timeout of the shared client.
        .readTimeout(0, TimeUnit.MILLISECONDS)
        .build()

    @Serializable
    private data class AppendBody(val data: String)

    @Serializable
    private data class AppendAnswer(val offset: Long)

    @Serializable
    private data class PageAnswer(val earliest: Long, val end: Long, val records: List<RecordAnswer>)

    @Serializable
    private data class RecordAnswer(val offset: Long, @SerialName("time_ms") val timeMs: Long, val data: String)

    override fun append(stream: String, data: ByteArray, timeoutMs: Long): Result<Long, LogFailure> {
        val body = Json.encodeToString(AppendBody(Base64.getEncoder().encodeToString(data))).toRequestBody(JSON_MEDIA_TYPE)
        return call(Request.Builder().url("$url/streams/$stream/records").post(body), timeoutMs) {
            lenientJson.decodeFromString<AppendAnswer>(it).offset
        }
    }

    override fun read(stream: String, fromOffset: Long, maxRecords: Int, waitMs: Long): Result<LogPage, LogFailure> {
        val query = "from=$fromOffset&max=$maxRecords&wait_ms=$waitMs"
        return call(Request.Builder().url("$url/streams/$stream/records?$query"), waitMs + readTimeoutMs) { text ->
            val page = lenientJson.decodeFromString<PageAnswer>(text)
            LogPage(
                page.earliest,
                page.end,
                page.records.map { LogRecord(it.offset, it.timeMs, Base64.getDecoder().decode(it.data)) },
            )
        }
    }

    private fun <T> call(request: Request.Builder, timeoutMs: Long, parse: (String) -> T): Result<T, LogFailure> {
        val gate = WriteGate()
        val call = client.newCall(request.tag(WriteGate::class.java, gate).build())
        call.timeout().timeout(timeoutMs.coerceAtLeast(1), TimeUnit.MILLISECONDS)
        return try {
            call.execute().use { response ->
                if (response.isSuccessful) Ok(parse(response.body.string())) else Err(failureOf(response, gate))
            }
        } catch (e: IOException) {
            Err(if (gate.mayBeWritten) LogFailure.Unknown("no answer from the log: ${e.message}") else unreachable(e))
        } catch (e: IllegalArgumentException) {
            Err(LogFailure.Unknown("cannot parse the answer of the log: ${e.message?.lineSequence()?.first()}"))
        }
    }

    private fun unreachable(e: IOException) = LogFailure.NotApplied("cannot reach the log: ${e.message}")

    // A 5xx may come from a component that failed after the append, so only a 4xx counts as a refusal.
    private fun failureOf(response: Response, gate: WriteGate): LogFailure {
        val retryAfterMs = (gate.retryAfter ?: response.header("Retry-After"))?.toLongOrNull()?.times(MS_PER_SECOND)
        val message = "log answered status ${response.code}"
        return if (response.code in CLIENT_ERRORS) LogFailure.NotApplied(message, retryAfterMs) else LogFailure.Unknown(message)
    }

    private companion object {
        const val DEFAULT_READ_TIMEOUT_MS = 2_000L
        const val MS_PER_SECOND = 1_000L
        val CLIENT_ERRORS = 400..499
        val JSON_MEDIA_TYPE = "application/json".toMediaType()
        val lenientJson = Json { ignoreUnknownKeys = true }
    }
}
