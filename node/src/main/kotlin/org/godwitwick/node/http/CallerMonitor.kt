package org.godwitwick.node.http

import io.undertow.server.HttpServerExchange
import io.undertow.server.protocol.http.HttpServerConnection
import io.undertow.util.ImmediatePooledByteBuffer
import org.godwitwick.node.control.OnDemandTimer
import java.io.IOException
import java.nio.ByteBuffer
import java.util.concurrent.ConcurrentHashMap

/**
 * Detects callers that close their connection while their request is being answered.
 *
 * Undertow does not read from a connection between the end of a request and the end of its answer, so it would notice a close
 * only at the next write, which may be seconds later. The monitor reads from watched connections when a watch begins, and then
 * periodically on their I/O threads, and keeps bytes of next requests at the connection.
 */
class CallerMonitor(periodMs: Long = DEFAULT_PERIOD_MS) : AutoCloseable {
    private val watches = ConcurrentHashMap.newKeySet<ConnectionWatch>()
    private val timer = OnDemandTimer("caller-monitor", periodMs, watches::isNotEmpty, ::checkAll)

    /** Returns a watch on the connection of [exchange]. The code that calls this must close the watch. */
    fun watch(exchange: HttpServerExchange): CallerWatch {
        val connection = exchange.connection as? HttpServerConnection ?: return CallerWatch.NONE
        return ConnectionWatch(connection, exchange)
    }

    private fun checkAll() = watches.forEach { watch -> watch.connection.ioThread.execute(watch::check) }

    override fun close() {
        timer.close()
    }

    private inner class ConnectionWatch(val connection: HttpServerConnection, private val exchange: HttpServerExchange) :
        CallerWatch {
        private var action: (() -> Unit)? = null
        private var isEnded = false

        // At an overloaded instance a request may have waited unread for so long that its caller has left already.
        @Synchronized
        override fun onDisconnect(action: () -> Unit) {
            if (isEnded) return
            this.action = action
            check()
            if (isEnded) return
            watches.add(this)
            timer.wake()
        }

        @Synchronized
        override fun close() {
            isEnded = true
            watches.remove(this)
        }

        @Synchronized
        fun check() {
            // Until the request is complete, bytes on the connection belong to its body.
            if (isEnded || !exchange.isRequestComplete || exchange.isResponseComplete) return
            val buffer = ByteBuffer.allocate(PEEK_BYTES)
            // The close of the connection is behind all bytes that were sent before it.
            while (!isEnded) {
                val count = read(buffer.clear())
                if (count == 0) return
                if (count > 0) keep(buffer.flip()) else onEndOfStream()
            }
        }

        private fun read(buffer: ByteBuffer): Int = try {
            connection.originalSourceConduit.read(buffer)
        } catch (_: IOException) {
            END_OF_STREAM
        }

        private fun onEndOfStream() {
            close()
            action?.invoke()
        }

        // These bytes belong to the caller's next requests. The connection may hold some that arrived earlier, together with this
        // request; it would put bytes that are returned to it in front of those.
        private fun keep(read: ByteBuffer) {
            val held = connection.extraBytes
            val heldBytes = held?.buffer?.remaining() ?: 0
            val all = ByteBuffer.allocate(heldBytes + read.remaining())
            held?.use { all.put(it.buffer) }
            all.put(read).flip()
            connection.extraBytes = ImmediatePooledByteBuffer(all)
            if (all.remaining() > MAX_KEPT_BYTES) close()
        }
    }

    private companion object {
        /** Half of the time within which work for a disconnected caller must end, minus the time that ending it takes. */
        const val DEFAULT_PERIOD_MS = 150L
        const val PEEK_BYTES = 1_024

        /** Bounds the memory for requests that a caller sends in advance; after that its disconnect is noticed at the next write. */
        const val MAX_KEPT_BYTES = 16 * 1_024
        const val END_OF_STREAM = -1
    }
}
