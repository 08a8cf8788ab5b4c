package org.godwitwick.standins.platform

import okhttp3.ConnectionPool
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.util.concurrent.TimeUnit

/**
 * Answer as a caller received it.
 *
 * @property status the status, or 0 if there was no answer.
 * @property isWhole whether the body was read to its end.
 * @property signature what the upstream signed the answer with, or null.
 */
data class CallerAnswer(val status: Int, val isWhole: Boolean, val signature: String?, val body: String)

/** Sends requests as a caller of the platform does. It keeps connections and never repeats a request. */
class PlatformCaller(private val deadlineMs: Long) : AutoCloseable {
    private val client = OkHttpClient.Builder()
        .retryOnConnectionFailure(false)
        .connectionPool(ConnectionPool(CONNECTIONS, KEPT_S, TimeUnit.SECONDS))
        .connectTimeout(CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .readTimeout(deadlineMs + SLACK_MS, TimeUnit.MILLISECONDS)
        .build()

    /** Sends a request for [path] to the instance that listens on [port]; one without a [body] is a `GET`. */
    fun send(port: Int, path: String, id: String, key: String, body: String?): CallerAnswer {
        val request = Request.Builder().url("http://127.0.0.1:$port$path")
            .header("Host", "menu.example")
            .header("X-Request-Id", id)
            .header("X-Request-Deadline", deadlineMs.toString())
            .header("Authorization", "Bearer $key")
        body?.let { request.post(it.toRequestBody()) }
        return try {
            client.newCall(request.build()).execute().use { answer ->
                val signature = answer.header("X-Response-Signature")
                try {
                    CallerAnswer(answer.code, isWhole = true, signature, answer.body.string())
                } catch (_: IOException) {
                    CallerAnswer(answer.code, isWhole = false, signature, "")
                }
            }
        } catch (_: IOException) {
            CallerAnswer(status = 0, isWhole = false, signature = null, body = "")
        }
    }

    /** Status of the readiness address at [port], or 0 if there is no answer. */
    fun readiness(port: Int): Int = try {
        client.newCall(Request.Builder().url("http://127.0.0.1:$port/v1/readiness").build()).execute().use { it.code }
    } catch (_: IOException) {
        0
    }

    override fun close() {
        client.connectionPool.evictAll()
        client.dispatcher.executorService.shutdown()
    }

    private companion object {
        const val CONNECTIONS = 8
        const val KEPT_S = 5L
        const val CONNECT_TIMEOUT_MS = 1_000L
        const val SLACK_MS = 2_000L
    }
}
