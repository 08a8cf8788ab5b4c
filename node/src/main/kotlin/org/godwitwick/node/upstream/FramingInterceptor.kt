package org.godwitwick.node.upstream

import okhttp3.Headers
import okhttp3.Interceptor
import okhttp3.Response

/**
 * Rejects answers whose head does not state clearly where they end. OkHttp would read most of them up to the end of the connection,
 * and so take a part of the body for the whole.
 */
internal object FramingInterceptor : Interceptor {
    private const val CONTENT_LENGTH = "Content-Length"
    private const val TRANSFER_ENCODING = "Transfer-Encoding"
    private const val CHUNKED = "chunked"
    private val DIGITS = Regex("[0-9]+")

    override fun intercept(chain: Interceptor.Chain): Response {
        val response = chain.proceed(chain.request())
        faultOf(response.headers)?.let { throw MalformedAnswerException(it) }
        return response
    }

    // A transfer coding takes precedence over a length.
    private fun faultOf(headers: Headers): String? {
        val codings = headers.values(TRANSFER_ENCODING)
        val length = headers[CONTENT_LENGTH]
        return when {
            codings.isNotEmpty() -> "the answer has the transfer coding $codings".takeUnless { isChunked(codings) }
            length != null -> "the answer has the length '$length'".takeUnless { isLength(length) }
            else -> null
        }
    }

    private fun isChunked(codings: List<String>): Boolean = codings.singleOrNull().equals(CHUNKED, ignoreCase = true)

    private fun isLength(text: String): Boolean = DIGITS.matches(text) && text.toLongOrNull() != null
}
