package org.godwitwick.node.upstream

import okhttp3.ConnectionPool
import okhttp3.ConnectionSpec
import okhttp3.OkHttpClient
import okhttp3.Protocol
import java.util.concurrent.TimeUnit

/**
 * Returns a builder of clients that do not retry failed calls and do not follow redirects. With its defaults OkHttp repeats some
 * failed calls, which could run a non-idempotent call twice. The clients reject answers that do not state clearly where they end.
 */
fun noRetryClientBuilder(): OkHttpClient.Builder = OkHttpClient.Builder()
    .retryOnConnectionFailure(false)
    .followRedirects(false)
    .socketFactory(LimitedSocketFactory)
    .addNetworkInterceptor(ReceiveLimitInterceptor)
    .addNetworkInterceptor(FramingInterceptor)

/** Restricts the client to HTTP/1.1 without TLS, so that the trusted certificates are not loaded at start-up. */
fun OkHttpClient.Builder.plainHttp(): OkHttpClient.Builder =
    protocols(listOf(Protocol.HTTP_1_1)).connectionSpecs(listOf(ConnectionSpec.CLEARTEXT))

/**
 * Returns a pool that keeps no connection: each is closed after its call. While a connection is in use, OkHttp checks the pool once
 * in each keep-alive time, so that a short one would take a whole core.
 */
fun singleUsePool() = ConnectionPool(maxIdleConnections = 0, keepAliveDuration = 1, TimeUnit.MINUTES)
