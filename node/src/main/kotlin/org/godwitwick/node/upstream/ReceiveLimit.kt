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
import java.net.SocketException
import java.nio.channels.ClosedChannelException
import javax.net.SocketFactory

/**
 * A socket that bounds the bytes received between two reads of a response body, and that tells before each further use whether its
 * server has closed it.
 *
 * Protects against faulty servers that send an endless sequence of bytes where a response head, a chunk size or a trailer is
 * expected. OkHttp bounds only the head; it would buffer the others until memory is exhausted.
 */
internal class LimitedSocket private constructor(private val connection: ChannelSocketImpl) : Socket(connection) {
    // False until the first call of [onBodyRead]. Under TLS the client reads through another socket and never calls it, so that
    // connections with TLS are not bounded.
    private var isBounded = false
    private var bytesSinceBodyRead = 0L
    private val input by lazy { LimitedInput(super.getInputStream()) }
    private var tail = ResponseTail()

    /** Whether a response has been received on this socket, or its receipt has begun. */
    var wasUsed = false
        private set

    constructor() : this(ChannelSocketImpl())

    /** Starts to receive the response to the next request; the result follows its bytes. */
    fun beginResponse(): ResponseTail {
        onBodyRead()
        wasUsed = true
        return ResponseTail().also { tail = it }
    }

    /** Restarts the count: the bytes received so far are accounted for by a response body or an earlier response. */
    fun onBodyRead() {
        isBounded = true
        bytesSinceBodyRead = 0
    }

    override fun getInputStream(): InputStream = input

    /**
     * Whether nothing can be received any more. Also closes the socket if the server has closed it or sent bytes that belong to no
     * response.
     *
     * OkHttp calls this, of the methods for reading, only when it takes a connection out of its pool; its own check waits for 1 ms, and
     * is made for some methods after 10 s only.
     */
    override fun isInputShutdown(): Boolean {
        if (super.isInputShutdown()) return true
        if (!isBounded || isClosed || !connection.hasInput()) return false
        close()
        return true
    }

    private inner class LimitedInput(private val source: InputStream) : InputStream() {
        override fun read(): Int {
            val single = ByteArray(1)
            return if (read(single, 0, 1) < 0) -1 else single[0].toInt() and BYTE_MASK
        }

        override fun read(target: ByteArray, offset: Int, length: Int): Int {
            val count = try {
                source.read(target, offset, length)
            } catch (_: ClosedChannelException) {
                // The original exception has no message.
                throw SocketException("the socket was closed, or its thread interrupted, during a read")
            }
            if (count > 0) tail.onReceived(target, offset, count)
            count(count)
            return count
        }

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
        const val BYTE_MASK = 0xff
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

/** Reports each read of the response body, and its end, to the [LimitedSocket] of the call. */
internal object ReceiveLimitInterceptor : Interceptor {
    // Bytes after a body belong to no request, and the next one must not read them. Only a body with a length has a known end here.
    private fun LimitedSocket.dropIfFollowed(tail: ResponseTail, length: Long): Boolean {
        val isFollowed = length >= 0 && tail.isFollowed(length)
        if (isFollowed) close()
        return isFollowed
    }

    override fun intercept(chain: Interceptor.Chain): Response {
        val socket = chain.connection()?.socket() as? LimitedSocket
        if (socket != null) chain.request().tag(WriteGate::class.java)?.isOnKeptConnection = socket.wasUsed
        val tail = socket?.beginResponse()
        val response = chain.proceed(chain.request())
        if (socket == null || tail == null) return response
        socket.onBodyRead()
        val body = response.body
        val length = body.contentLength()
        val countedSource = object : ForwardingSource(body.source()) {
            override fun read(sink: Buffer, byteCount: Long): Long {
                val count = super.read(sink, byteCount)
                socket.onBodyRead()
                if (count < 0 && socket.dropIfFollowed(tail, length) && !tail.isFollowedByResponse(length)) {
                    throw IOException("the body of $length bytes is followed by bytes that begin no response")
                }
                return count
            }

            override fun close() {
                super.close()
                socket.dropIfFollowed(tail, length)
            }
        }
        return response.newBuilder().body(countedSource.buffer().asResponseBody(body.contentType(), length)).build()
    }
}
