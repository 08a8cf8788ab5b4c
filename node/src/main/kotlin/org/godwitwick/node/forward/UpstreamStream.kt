package org.godwitwick.node.forward

import org.godwitwick.core.forward.UpstreamEntry

/**
 * A stream that an upstream has begun.
 *
 * @property first its first event, or null when it ended without one.
 */
class UpstreamStream(
    val head: AnswerHead,
    val upstream: UpstreamEntry,
    val first: ServerEvent?,
    private val open: SendResult.Open,
    private val reader: EventReader,
    private val onClose: () -> Unit,
) {
    /** The next event, or null at the end. */
    fun next(): ServerEvent? = reader.next()

    /** Ends the send, whether or not the stream has ended; a connection with unread bytes isn't used again. */
    fun close(isComplete: Boolean) {
        if (!isComplete) open.abort()
        open.close()
        onClose()
    }
}
