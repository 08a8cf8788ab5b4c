package org.godwitwick.node.upstream

import okhttp3.Interceptor
import okhttp3.Response
import org.godwitwick.node.http.REQUEST_ID_HEADER
import org.godwitwick.node.http.REQUEST_ID_LOG_KEY
import org.slf4j.MDC

/** Sends the id of the request that the calling thread serves to the upstream, unless the call already has the header. */
object RequestIdInterceptor : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val request = chain.request()
        val id = MDC.get(REQUEST_ID_LOG_KEY)
        if (id == null || request.header(REQUEST_ID_HEADER) != null) return chain.proceed(request)
        return chain.proceed(request.newBuilder().header(REQUEST_ID_HEADER, id).build())
    }
}
