package org.godwitwick.node.upstream

import okhttp3.Interceptor
import okhttp3.Response
import okhttp3.ResponseBody.Companion.asResponseBody
import okio.Buffer
import okio.ForwardingSource
import okio.buffer
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.Socket
import javax.net.SocketFactory

/**
 * A socket that bounds the bytes received between two reads of a response body.
 *
 * Protects against faulty servers that send an endless sequence of bytes where a response head, a chunk size or a trailer is
 * expected. OkHttp bounds only the head; it would buffer the others until memory is exhausted.
 */
internal class LimitedSocket : Socket() {
    // False until the first call of [onBodyRead]. Under TLS the client reads through another socket and never calls it, so that
    // connections with TLS are not bounded.
    private var isBounded = false
    private var bytesSinceBodyRead = 0L
    private val input by lazy { LimitedInput(super.getInputStream()) }

    /** Restarts the count: the bytes received so far are accounted for by a response body or an earlier response. */
    fun onBodyRead() {
        isBounded = true
        bytesSinceBodyRead = 0
    }

    override fun getInputStream(): InputStream = input

    private inner class LimitedInput(private val source: InputStream) : InputStream() {
        override fun read(): Int = source.read().also { count(if (it < 0) 0 else 1) }

        override fun read(target: ByteArray, offset: Int, length: Int): Int = source.read(target, offset, length).also(::count)

        override fun available(): Int = source.available()

        override fun close() = source.close()

        private fun count(bytes: Int) {
            bytesSinceBodyRead += bytes.coerceAtLeast(0)
            if (isBounded &&
                bytesSinceBodyRead > MAX_NON_BODY_BYTES
            ) {
                throw IOException("the server sent $bytesSinceBodyRead bytes outside a response body, which exceeds the limit")
            }
        }
    }

    private companion object {
        /** Twice the largest response head that OkHttp accepts. */
        const val MAX_NON_BODY_BYTES = 512L * 1024
    }
}

/** Creates unconnected instances of [LimitedSocket]. */
internal object LimitedSocketFactory : SocketFactory() {
    override fun createSocket(): Socket = LimitedSocket()

    override fun createSocket(host: String, port: Int): Socket = unsupported()

    override fun createSocket(host: String, port: Int, localHost: InetAddress, localPort: Int): Socket = unsupported()

    override fun createSocket(host: InetAddress, port: Int): Socket = unsupported()

    override fun createSocket(address: InetAddress, port: Int, localAddress: InetAddress, localPort: Int): Socket = unsupported()

    // OkHttp connects the sockets itself, in order to apply its connect timeout.
    private fun unsupported(): Socket = throw UnsupportedOperationException("only unconnected sockets can be created")
}

/** Reports each read of the response body to the [LimitedSocket] of the call. */
internal object ReceiveLimitInterceptor : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val socket = chain.connection()?.socket() as? LimitedSocket
        socket?.onBodyRead()
        val response = chain.proceed(chain.request())
        if (socket == null) return response
        socket.onBodyRead()
        val body = response.body
        val countedSource = object : ForwardingSource(body.source()) {
            override fun read(sink: Buffer, byteCount: Long): Long = super.read(sink, byteCount).also { socket.onBodyRead() }
        }
        return response.newBuilder().body(countedSource.buffer().asResponseBody(body.contentType(), body.contentLength())).build()
    }
}
