package org.godwitwick.node.http

import org.http4k.core.Request
import org.http4k.core.Response

/** Answers a request and may learn meanwhile that its caller has left. */
typealias WatchingHandler = (Request, CallerWatch) -> Response

/** Watches the connection of one exchange until it is closed. */
interface CallerWatch : AutoCloseable {
    /** Calls [action] once, on another thread, when the caller has closed its connection. */
    fun onGone(action: () -> Unit)

    override fun close()

    companion object {
        /** Watches nothing; for requests that don't come over a connection. */
        val NONE = object : CallerWatch {
            override fun onGone(action: () -> Unit) = Unit

            override fun close() = Unit
        }
    }
}
