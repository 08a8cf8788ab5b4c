package org.godwitwick.node.forward

import org.godwitwick.core.forward.UpstreamEntry

/**
 * A stream of events from an upstream, of which the first event has been read.
 *
 * @property first the first event, or null if the stream ended without one.
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

    /** Ends the send. The connection is aborted unless [isComplete], which states that the stream was read to its end. */
    fun close(isComplete: Boolean) {
        if (!isComplete) open.abort()
        open.close()
        onClose()
    }
}
