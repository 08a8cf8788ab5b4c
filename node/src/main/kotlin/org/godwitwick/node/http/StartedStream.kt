package org.godwitwick.node.http

import org.godwitwick.node.upstream.TokenEvent
import org.godwitwick.node.upstream.TokenStream

/** A stream whose [first] event has been read already and is delivered once more. */
internal class StartedStream(first: TokenEvent, private val rest: TokenStream) : TokenStream {
    private var first: TokenEvent? = first

    override fun next(): TokenEvent = first?.also { first = null } ?: rest.next()

    override fun close() = rest.close()
}
