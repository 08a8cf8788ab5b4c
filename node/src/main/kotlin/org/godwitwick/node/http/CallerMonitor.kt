package org.godwitwick.node.http

import io.undertow.server.HttpServerExchange
import io.undertow.server.protocol.http.HttpServerConnection
import org.godwitwick.node.control.OnDemandTimer
import java.io.IOException
import java.nio.ByteBuffer
import java.util.concurrent.ConcurrentHashMap

/**
 * Finds callers that close their connection while their request is being answered.
 *
 * Undertow reads nothing from a connection between a request and the end of its answer, so a close would show only at the next
 * write, which may be seconds later. The monitor reads from idle sockets once a period on their I/O thread.
 */
class CallerMonitor(periodMs: Long = DEFAULT_PERIOD_MS) : AutoCloseable {
    private val watches = ConcurrentHashMap.newKeySet<ConnectionWatch>()
    private val timer = OnDemandTimer("caller-monitor", periodMs, watches::isNotEmpty, ::checkAll)

    /** Starts watching the connection of [exchange]; the caller of this function closes the watch. */
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

        @Synchronized
        override fun onGone(action: () -> Unit) {
            if (isEnded) return
            this.action = action
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
            // Bytes that come before the request's body is read belong to the body.
            if (isEnded || !exchange.isRequestComplete || exchange.isResponseComplete) return
            val buffer = ByteBuffer.allocate(PEEK_BYTES)
            val count = try {
                connection.originalSourceConduit.read(buffer)
            } catch (_: IOException) {
                END_OF_STREAM
            }
            if (count > 0) keep(buffer)
            if (count == END_OF_STREAM) {
                close()
                action?.invoke()
            }
        }

        // The caller has sent its next request already; it is handed back and the connection is watched no longer.
        private fun keep(read: ByteBuffer) {
            val pooled = connection.byteBufferPool.allocate()
            pooled.buffer.put(read.flip()).flip()
            connection.ungetRequestBytes(pooled)
            close()
        }
    }

    private companion object {
        /** Half of the time in which work for a caller that left has to end, less the time for ending it. */
        const val DEFAULT_PERIOD_MS = 150L
        const val PEEK_BYTES = 1_024
        const val END_OF_STREAM = -1
    }
}
