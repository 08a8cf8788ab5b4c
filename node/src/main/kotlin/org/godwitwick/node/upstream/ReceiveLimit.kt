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
    // connections with TLS are not bounded, and their responses are not checked here.
    private var isBounded = false
    private var bytesSinceBodyRead = 0L
    private var input: ResponseInput? = null

    constructor() : this(ChannelSocketImpl())

    /** Whether a request was sent on this connection. */
    val wasUsed: Boolean get() = input?.wasUsed == true

    /** Answers to earlier requests that arrived late and were passed over since the last call of [beginResponse]. */
    val passedOverCount: Int get() = input?.passedOverCount ?: 0

    /** Starts to receive the response to the next request; see [ResponseInput.begin]. */
    fun beginResponse(method: String, identity: AnswerIdentity?) {
        onBodyRead()
        inputStream.begin(method, identity)
    }

    /** Restarts the count: the bytes received so far are accounted for by a response body or an earlier response. */
    fun onBodyRead() {
        isBounded = true
        bytesSinceBodyRead = 0
    }

    override fun getInputStream(): ResponseInput =
        input ?: ResponseInput(this, LimitedInput(super.getInputStream())).also { input = it }

    /**
     * Whether nothing can be received any more. Also closes the socket if the server has closed it or sent bytes that belong to no
     * response, or if it was used for too many requests.
     *
     * OkHttp calls this, of the methods for reading, only when it takes a connection out of its pool; its own check waits for 1 ms, and
     * is made for some methods after 10 s only.
     */
    override fun isInputShutdown(): Boolean {
        if (super.isInputShutdown()) return true
        if (!isBounded || isClosed || !(input?.isUsedUp == true || connection.hasInput())) return false
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

/** Tells the [LimitedSocket] of a call when its response begins, and reports each read of the body to it. */
internal object ReceiveLimitInterceptor : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val request = chain.request()
        val socket = chain.connection()?.socket() as? LimitedSocket ?: return chain.proceed(request)
        val gate = request.tag(WriteGate::class.java)
        gate?.isOnKeptConnection = socket.wasUsed
        socket.beginResponse(request.method, request.tag(AnswerIdentity::class.java))
        val response = chain.proceed(request)
        gate?.passedOverAnswers = socket.passedOverCount
        socket.onBodyRead()
        val body = response.body
        val countedSource = object : ForwardingSource(body.source()) {
            override fun read(sink: Buffer, byteCount: Long): Long = super.read(sink, byteCount).also { socket.onBodyRead() }
        }
        return response.newBuilder()
            .body(countedSource.buffer().asResponseBody(body.contentType(), body.contentLength()))
            .build()
    }
}
