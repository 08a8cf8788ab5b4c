package org.godwitwick.node.upstream

import okhttp3.ConnectionSpec
import okhttp3.OkHttpClient
import okhttp3.Protocol

/**
 * A builder of clients that send each call once. OkHttp would repeat some failed calls by itself, which could run a non-idempotent call
 * twice.
 */
fun oneSendClient(): OkHttpClient.Builder = OkHttpClient.Builder()
    .retryOnConnectionFailure(false)
    .followRedirects(false)
    .socketFactory(LimitedSocketFactory)
    .addNetworkInterceptor(ReceiveLimitInterceptor)

/** Limits the client to HTTP/1.1 without TLS, which saves the reading of all trusted certificates at the start. */
fun OkHttpClient.Builder.plainHttp(): OkHttpClient.Builder =
    protocols(listOf(Protocol.HTTP_1_1)).connectionSpecs(listOf(ConnectionSpec.CLEARTEXT))
