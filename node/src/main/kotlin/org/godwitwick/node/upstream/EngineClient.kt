package org.godwitwick.node.upstream

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.json.Json
import okhttp3.Call
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import java.io.IOException
import java.util.concurrent.TimeUnit

/** Calls one engine's published protocol. It never retries. */
class EngineClient(private val client: OkHttpClient) {
    /** Starts [message] at the engine at [address] (`ip:port`); [timeoutMs] bounds the whole call, stream included. */
    fun generate(address: String, message: EngineGenerate, timeoutMs: Long): Result<TokenStream, Failure> {
        val call = client.newCall(generateRequest(address, message))
        call.timeout().timeout(timeoutMs, TimeUnit.MILLISECONDS)
        return try {
            val response = call.execute()
            if (response.isSuccessful) {
                Ok(EngineTokenStream(call, response, message.requestId, message.resumeTokens.size))
            } else {
                response.use { Err(Failure(ErrorKind.UPSTREAM_FAILED, "engine answered status ${it.code}")) }
            }
        } catch (e: IOException) {
            Err(Failure(ErrorKind.UPSTREAM_FAILED, "engine not reached: ${e.message}"))
        }
    }

    private fun generateRequest(address: String, message: EngineGenerate): Request = Request.Builder()
        .url("http://$address/v1/generate")
        .post(Json.encodeToString(message).toRequestBody(JSON_MEDIA_TYPE))
        .build()

    private class EngineTokenStream(
        private val call: Call,
        private val response: Response,
        private val requestId: String,
        private var nextIndex: Int,
    ) : TokenStream {
        private val source = response.body.source()
        private var isFinished = false

        override fun next(): TokenEvent = try {
            readEvent()
        } catch (e: IOException) {
            failed("engine stream broke: ${e.message}")
        } catch (e: IllegalArgumentException) {
            failed("engine event not understood")
        }

        private fun readEvent(): TokenEvent {
            while (true) {
                val line = source.readUtf8Line() ?: return failed("engine stream ended early")
                if (!line.startsWith(DATA_PREFIX)) continue
                return accept(lenientJson.decodeFromString<EngineEvent>(line.substring(DATA_PREFIX.length)))
            }
        }

        private fun accept(event: EngineEvent): TokenEvent = when {
            event.requestId != requestId -> failed("engine event belongs to another request")
            event.error != null -> failed("engine reported an error")
            event.done -> complete(event)
            event.index != nextIndex || event.token == null -> failed("engine token is out of order")
            else -> TokenEvent.Token(nextIndex++, event.token)
        }

        private fun complete(event: EngineEvent): TokenEvent {
            if (event.tokens != nextIndex) return failed("engine ended after $nextIndex of ${event.tokens} tokens")
            isFinished = true
            return TokenEvent.Done(nextIndex)
        }

        private fun failed(message: String): TokenEvent = TokenEvent.Failed(Failure(ErrorKind.UPSTREAM_FAILED, message))

        // An abandoned connection may still deliver the old answer, so it is cancelled and never goes back to the pool.
        override fun close() {
            if (!isFinished) call.cancel()
            response.close()
        }
    }

    private companion object {
        const val DATA_PREFIX = "data:"
        val JSON_MEDIA_TYPE = "application/json".toMediaType()
        val lenientJson = Json { ignoreUnknownKeys = true }
    }
}
