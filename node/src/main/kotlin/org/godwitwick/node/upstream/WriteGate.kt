package org.godwitwick.node.upstream

import okhttp3.Call
import okhttp3.EventListener
import okhttp3.Interceptor
import okhttp3.Response
import java.io.IOException

/**
 * Tracks whether a byte of a call may have been written to a connection, and ensures that the call is written at most once.
 *
 * @property beforeWrite called on an established connection just before the first byte is written; the call is refused if it
 * returns false.
 */
class WriteGate(private val beforeWrite: () -> Boolean = { true }) {
    /** Whether a byte of the call may have been written. */
    @Volatile
    var mayBeWritten = false
        private set

    /** Whether the writing of the call failed. The answer may have been read all the same. */
    @Volatile
    var hasWriteFailed = false
        private set

    /** Whether the call was sent on a connection that had carried another one before. */
    @Volatile
    var isOnKeptConnection = false
        internal set

    /** How many late answers to earlier requests were passed over before the answer to the call. */
    @Volatile
    var passedOverAnswers = 0
        internal set

    /** The value of the `Retry-After` header that was removed from a 503 answer, or null. */
    @Volatile
    var retryAfter: String? = null
        internal set

    internal fun beginWrite() {
        if (mayBeWritten) throw IOException("the call was already written once; a second write was refused")
        if (!beforeWrite()) throw IOException("the call was refused before it was written")
        mayBeWritten = true
    }

    internal fun onWriteFailed() {
        hasWriteFailed = true
    }
}

/**
 * Records failed writes in the [WriteGate] of their call.
 *
 * OkHttp still reads an answer after a write has failed. The failed write has consumed the error of a reset, so that the end of the
 * answer looks as if the connection had been closed in order.
 */
open class WriteFailureListener : EventListener() {
    override fun requestFailed(call: Call, ioe: IOException) {
        call.request().tag(WriteGate::class.java)?.onWriteFailed()
    }
}

/**
 * Network interceptor that applies the [WriteGate] attached to a request as a tag. It runs after the connection is established
 * and before the request is written.
 *
 * OkHttp repeats a call that is answered with 503 and `Retry-After: 0`, even with `retryOnConnectionFailure(false)`. The header
 * is therefore removed from a 503 answer and stored in the gate.
 */
object WriteGateInterceptor : Interceptor {
    private const val UNAVAILABLE = 503

    override fun intercept(chain: Interceptor.Chain): Response {
        val gate = chain.request().tag(WriteGate::class.java) ?: throw IOException("a call without a write gate was refused")
        gate.beginWrite()
        val response = chain.proceed(chain.request())
        if (response.code != UNAVAILABLE) return response
        gate.retryAfter = response.header("Retry-After")
        return response.newBuilder().removeHeader("Retry-After").build()
    }
}
