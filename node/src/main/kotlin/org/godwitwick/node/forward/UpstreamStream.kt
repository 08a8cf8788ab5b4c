package org.godwitwick.node.forward

import org.godwitwick.core.forward.UpstreamEntry

/**
 * A stream of events from an upstream, of which the first event has been read.
 *
 * @property first its first event, or null if it ended without one.
 */
class UpstreamStream(
    val head: AnswerHead,
    val upstream: UpstreamEntry,
    val first: ServerEvent?,
    private val open: SendResult.Open,
    private val reader: EventReader,
    private val onClose: () -> Unit,
) {
    /** Returns the next event, or null at the end. */
    fun next(): ServerEvent? = reader.next()

    /** Ends the send. The connection is closed unless the stream was read completely, as [isComplete] states. */
    fun close(isComplete: Boolean) {
        if (!isComplete) open.abort()
        open.close()
        onClose()
    }
}
