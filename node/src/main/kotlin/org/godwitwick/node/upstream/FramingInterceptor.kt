package org.godwitwick.node.upstream

import okhttp3.Interceptor
import okhttp3.Response
import org.godwitwick.core.http.BodyFraming
import org.godwitwick.core.http.ResponseHead

/**
 * Rejects answers whose head does not state clearly where they end. OkHttp would read most of them up to the end of the connection,
 * and so take a part of the body for the whole. Needed under TLS only, where [ResponseInput] does not see the answer.
 */
internal object FramingInterceptor : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val response = chain.proceed(chain.request())
        val head = ResponseHead(response.code, response.headers.toList())
        val framing = BodyFraming.of(chain.request().method, head)
        if (framing is BodyFraming.Unreadable) throw MalformedAnswerException(framing.fault)
        return response
    }
}
