package org.godwitwick.node.http

import io.undertow.server.HttpServerExchange
import io.undertow.server.protocol.http.HttpServerConnection
import org.slf4j.LoggerFactory
import org.xnio.IoUtils
import org.xnio.XnioExecutor
import org.xnio.conduits.ReadReadyHandler
import java.io.IOException
import java.nio.ByteBuffer
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit

/**
 * Closes a connection after its last answer: ends the answer's direction, and discards what the caller still sends until the caller
 * closes its side too.
 *
 * The kernel resets a connection that is closed with unread bytes, and a reset discards what the caller has not received yet.
 *
 * @param timeoutMs time after which the connection is closed in any case.
 * @param onClosed called once, when the connection is closed.
 */
internal class LingeringClose private constructor(
    private val connection: HttpServerConnection,
    private val timeoutMs: Long,
    private val onClosed: () -> Unit,
) : ReadReadyHandler {
    private val source = connection.originalSourceConduit
    private val buffer = ByteBuffer.allocate(BUFFER_BYTES)
    private var discardedBytes = 0L
    private var timer: XnioExecutor.Key? = null
    private var isClosed = false

    private fun start() = try {
        connection.ioThread.execute(::begin)
    } catch (_: RejectedExecutionException) {
        // The server has been stopped.
        close()
    }

    private fun begin() {
        try {
            connection.originalSinkConduit.terminateWrites()
            connection.originalSinkConduit.flush()
        } catch (e: IOException) {
            log.debug("http: connection lost after its last answer: {}", e.message)
            return close()
        }
        timer = connection.ioThread.executeAfter(::close, timeoutMs, TimeUnit.MILLISECONDS)
        source.setReadReadyHandler(this)
        source.resumeReads()
        readReady()
    }

    override fun readReady() {
        if (isClosed) return
        val count = try {
            source.read(buffer.clear())
        } catch (_: IOException) {
            END_OF_STREAM
        }
        discardedBytes += maxOf(count, 0)
        if (count == END_OF_STREAM || discardedBytes > MAX_DISCARDED_BYTES) close()
    }

    override fun forceTermination() = close()

    override fun terminated() = close()

    private fun close() {
        if (isClosed) return
        isClosed = true
        timer?.remove()
        IoUtils.safeClose(connection)
        onClosed()
    }

    companion object {
        private const val BUFFER_BYTES = 4 * 1_024
        private const val END_OF_STREAM = -1

        /** Bounds the work for a caller that sends without end. */
        private const val MAX_DISCARDED_BYTES = 1L shl 20
        private val log = LoggerFactory.getLogger(LingeringClose::class.java)

        /**
         * Closes the connection of [exchange], whose answer has been written, if the answer was the last one on it. [proceed] is called
         * when the connection has been closed, or at once if it is kept.
         */
        fun closeIfLast(exchange: HttpServerExchange, timeoutMs: Long, proceed: () -> Unit) {
            val connection = exchange.connection as? HttpServerConnection
            if (connection == null || exchange.isPersistent || !connection.isOpen) return proceed()
            LingeringClose(connection, timeoutMs, proceed).start()
        }
    }
}
