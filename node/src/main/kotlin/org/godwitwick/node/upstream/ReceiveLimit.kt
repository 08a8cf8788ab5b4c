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
 * Bounds the bytes that a server sends between two pieces of an answer's body.
 *
 * Answers servers in trouble that send bytes without end where a head, the size of a chunk or a trailer is expected. OkHttp bounds heads
 * only; it would collect the others until the memory is used up.
 */
internal class LimitedSocket : Socket() {
    // Under TLS the client reads through another socket and never tells this one what was used, so nothing is bounded there.
    private var isBounded = false
    private var unusedBytes = 0L
    private val input by lazy { LimitedInput(super.getInputStream()) }

    /** Notes that the bytes so far were an answer's. */
    fun used() {
        isBounded = true
        unusedBytes = 0
    }

    override fun getInputStream(): InputStream = input

    private inner class LimitedInput(private val source: InputStream) : InputStream() {
        override fun read(): Int = source.read().also { counted(if (it < 0) 0 else 1) }

        override fun read(target: ByteArray, offset: Int, length: Int): Int = source.read(target, offset, length).also(::counted)

        override fun available(): Int = source.available()

        override fun close() = source.close()

        private fun counted(bytes: Int) {
            unusedBytes += bytes.coerceAtLeast(0)
            if (isBounded &&
                unusedBytes > MAX_UNUSED_BYTES
            ) {
                throw IOException("the server sent $unusedBytes bytes that are no answer")
            }
        }
    }

    private companion object {
        /** Twice the largest head that OkHttp takes. */
        const val MAX_UNUSED_BYTES = 512L * 1024
    }
}

/** Makes sockets that bound what they receive. */
internal object LimitedSocketFactory : SocketFactory() {
    override fun createSocket(): Socket = LimitedSocket()

    override fun createSocket(host: String, port: Int): Socket = connectOnly()

    override fun createSocket(host: String, port: Int, localHost: InetAddress, localPort: Int): Socket = connectOnly()

    override fun createSocket(host: InetAddress, port: Int): Socket = connectOnly()

    override fun createSocket(address: InetAddress, port: Int, localAddress: InetAddress, localPort: Int): Socket = connectOnly()

    // OkHttp connects sockets itself, since it bounds the time for that.
    private fun connectOnly(): Socket = throw UnsupportedOperationException("sockets are connected by the client")
}

/** Tells a call's [LimitedSocket] of each piece of the body that was read. */
internal object ReceiveLimitInterceptor : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val socket = chain.connection()?.socket() as? LimitedSocket
        socket?.used()
        val response = chain.proceed(chain.request())
        if (socket == null) return response
        socket.used()
        val body = response.body
        val counted = object : ForwardingSource(body.source()) {
            override fun read(sink: Buffer, byteCount: Long): Long = super.read(sink, byteCount).also { socket.used() }
        }
        return response.newBuilder().body(counted.buffer().asResponseBody(body.contentType(), body.contentLength())).build()
    }
}
