package org.godwitwick.node.http

import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.godwitwick.node.upstream.TokenEvent
import org.godwitwick.node.upstream.TokenStream
import java.io.IOException
import java.io.InputStream

/**
 * A response body that turns a token stream into server-sent events as they are read.
 *
 * A complete answer ends with `data: [DONE]`. A failed one ends with an `error` event, and then the read fails, so that the server
 * aborts the response.
 *
 * @property onEnd called once, with null when the answer is complete; a body that is closed before its end was given up by the caller.
 */
class SseBody(
    private val tokens: TokenStream,
    private val encodeToken: (TokenEvent.Token) -> String,
    private val encodeFailure: (Failure) -> String,
    private val onEnd: (Failure?) -> Unit,
) : InputStream() {
    private var pending = ByteArray(0)
    private var position = 0
    private var state = State.STREAMING

    override fun read(): Int {
        val single = ByteArray(1)
        return if (read(single, 0, 1) < 0) -1 else single[0].toInt() and BYTE_MASK
    }

    override fun read(target: ByteArray, offset: Int, length: Int): Int {
        if (position == pending.size && !fill()) return -1
        val count = minOf(length, pending.size - position)
        pending.copyInto(target, offset, position, position + count)
        position += count
        return count
    }

    private fun fill(): Boolean {
        when (state) {
            State.COMPLETE -> return false
            State.FAILED -> throw IOException("answer failed")
            State.STREAMING -> advance(tokens.next())
        }
        return true
    }

    private fun advance(event: TokenEvent) {
        when (event) {
            is TokenEvent.Token -> put("data: ${encodeToken(event)}\n\n")
            is TokenEvent.Done -> finish(State.COMPLETE, null, "data: [DONE]\n\n")
            is TokenEvent.Failed -> finish(State.FAILED, event.failure, "event: error\ndata: ${encodeFailure(event.failure)}\n\n")
        }
    }

    private fun finish(end: State, failure: Failure?, text: String) {
        state = end
        put(text)
        onEnd(failure)
    }

    private fun put(text: String) {
        pending = text.toByteArray()
        position = 0
    }

    override fun close() {
        tokens.close()
        if (state != State.STREAMING) return
        state = State.FAILED
        onEnd(Failure(ErrorKind.CANCELLED, "the caller closed the connection"))
    }

    private enum class State { STREAMING, COMPLETE, FAILED }

    private companion object {
        const val BYTE_MASK = 0xff
    }
}
