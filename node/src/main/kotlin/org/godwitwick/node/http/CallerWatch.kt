package org.godwitwick.node.http

import org.http4k.core.Request
import org.http4k.core.Response

/** Answers a request and can use the [CallerWatch] to be notified if the caller disconnects meanwhile. */
typealias DisconnectAwareHandler = (Request, CallerWatch) -> Response

/** Watches the caller's connection during one exchange, until the watch is closed. */
interface CallerWatch : AutoCloseable {
    /**
     * Registers [action], which runs at most once when the caller closes its connection: on an I/O thread, or on the current thread
     * before this call returns if the whole request has been read and the caller has left already.
     */
    fun onDisconnect(action: () -> Unit)

    override fun close()

    companion object {
        /** A watch that never reports a disconnect, for requests without an HTTP/1 connection. */
        val NONE = object : CallerWatch {
            override fun onDisconnect(action: () -> Unit) = Unit

            override fun close() = Unit
        }
    }
}
