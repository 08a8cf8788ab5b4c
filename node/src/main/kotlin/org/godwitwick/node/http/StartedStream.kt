package org.godwitwick.node.http

import org.godwitwick.node.upstream.TokenEvent
import org.godwitwick.node.upstream.TokenStream

/** A stream that delivers the [first] event, which was already read, and then the events of [rest]. */
internal class StartedStream(first: TokenEvent, private val rest: TokenStream) : TokenStream {
    private var first: TokenEvent? = first

    override fun next(): TokenEvent = first?.also { first = null } ?: rest.next()

    override fun close() = rest.close()
}
