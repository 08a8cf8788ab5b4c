package org.godwitwick.node.http

import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.godwitwick.node.upstream.TokenEvent
import org.godwitwick.node.upstream.TokenStream
import java.io.IOException

/**
 * A response body that encodes a token stream as server-sent events while it is read.
 *
 * A complete answer ends with `data: [DONE]`. A failed answer ends with an `error` event; the next read throws an [IOException],
 * so that the server aborts the response.
 *
 * @property onEnd called once, with null if the answer is complete and with the failure otherwise. Closing the body before its
 *   end means that the caller disconnected.
 */
class SseBody(
    private val tokens: TokenStream,
    private val encodeToken: (TokenEvent.Token) -> String,
    private val encodeFailure: (Failure) -> String,
    private val onEnd: (Failure?) -> Unit,
) : ChunkedInputStream() {
    private var state = State.STREAMING

    override fun nextChunk(): ByteArray? = when (state) {
        State.COMPLETE -> null
        State.FAILED -> throw IOException("the answer ended with an error event")
        State.STREAMING -> textOf(tokens.next()).toByteArray()
    }

    private fun textOf(event: TokenEvent): String = when (event) {
        is TokenEvent.Token -> "data: ${encodeToken(event)}\n\n"
        is TokenEvent.Done -> finish(State.COMPLETE, null, "data: [DONE]\n\n")
        is TokenEvent.Failed -> finish(State.FAILED, event.failure, "event: error\ndata: ${encodeFailure(event.failure)}\n\n")
    }

    private fun finish(end: State, failure: Failure?, text: String): String {
        state = end
        onEnd(failure)
        return text
    }

    override fun close() {
        tokens.close()
        if (state != State.STREAMING) return
        state = State.FAILED
        onEnd(Failure(ErrorKind.CANCELLED, "the caller closed the connection"))
    }

    private enum class State { STREAMING, COMPLETE, FAILED }
}
