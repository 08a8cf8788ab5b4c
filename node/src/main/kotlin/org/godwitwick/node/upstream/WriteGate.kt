package org.godwitwick.node.upstream

import okhttp3.Interceptor
import okhttp3.Response
import java.io.IOException

/**
 * Knows whether a byte of one call may have been written to a connection, and lets the call be written at most once.
 *
 * @property beforeWrite asked just before the first byte, on an established connection; false refuses the call.
 */
class WriteGate(private val beforeWrite: () -> Boolean = { true }) {
    /** Whether a byte of the call may have been written. */
    @Volatile
    var mayBeWritten = false
        private set

    /** The `Retry-After` header that was kept from OkHttp, or null. */
    @Volatile
    var retryAfter: String? = null
        internal set

    internal fun pass() {
        if (mayBeWritten) throw IOException("a second write of the same call was refused")
        if (!beforeWrite()) throw IOException("the call was refused before it was written")
        mayBeWritten = true
    }
}

/**
 * Network interceptor that applies the [WriteGate] in a request's tag. It runs after the connection is established and before the
 * request is written.
 *
 * OkHttp repeats a call by itself when the answer is 503 with `Retry-After: 0`, even with `retryOnConnectionFailure(false)`. The header
 * is therefore removed from a 503 and kept in the gate.
 */
object WriteGateInterceptor : Interceptor {
    private const val UNAVAILABLE = 503

    override fun intercept(chain: Interceptor.Chain): Response {
        val gate = chain.request().tag(WriteGate::class.java) ?: throw IOException("a call without a write gate was refused")
        gate.pass()
        val response = chain.proceed(chain.request())
        if (response.code != UNAVAILABLE) return response
        gate.retryAfter = response.header("Retry-After")
        return response.newBuilder().removeHeader("Retry-After").build()
    }
}
