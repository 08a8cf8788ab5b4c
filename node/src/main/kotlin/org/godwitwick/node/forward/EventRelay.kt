package org.godwitwick.node.forward

import org.godwitwick.node.http.ChunkedInputStream
import org.godwitwick.node.upstream.MalformedAnswerException
import java.io.IOException

/**
 * A response body that forwards whole events as they arrive, and continues at another upstream if a stream breaks.
 *
 * @param start the first stream; none of its events has been forwarded yet.
 * @param lastEventId id of the last event that the caller has, or null if it has none.
 * @param resume opens a stream that continues after the event with the given id, or returns null if the request is not continued.
 * @param onEvent called for each event before it is forwarded.
 * @param onEnd called once: with null if the answer is complete, otherwise with the cause.
 */
class EventRelay(
    start: UpstreamStream,
    private var lastEventId: Long?,
    private val resume: (UpstreamStream, IOException, Long?) -> UpstreamStream?,
    private val onEvent: () -> Unit,
    private val onEnd: (String?) -> Unit,
) : ChunkedInputStream() {
    private var stream = start
    private var prefetched = start.first
    private var isFirstRead = true
    private var hasEnded = false

    override fun nextChunk(): ByteArray? {
        if (hasEnded) return null
        while (true) {
            try {
                val event = nextEvent() ?: return complete()
                accept(event)
                return event.bytes.toByteArray()
            } catch (e: IOException) {
                stream.close(isComplete = false)
                stream = resume(stream, e, lastEventId) ?: throw fail(e)
                prefetched = stream.first
                isFirstRead = true
            }
        }
    }

    private fun nextEvent(): ServerEvent? {
        if (!isFirstRead) return stream.next()
        isFirstRead = false
        return prefetched
    }

    private fun accept(event: ServerEvent) {
        val last = lastEventId
        val id = event.id ?: throw MalformedAnswerException("the upstream sent an event without an id")
        if (last != null &&
            id != last + 1
        ) {
            throw MalformedAnswerException("event $id follows event $last, but ids must increase by 1")
        }
        lastEventId = id
        onEvent()
    }

    private fun complete(): ByteArray? {
        hasEnded = true
        stream.close(isComplete = true)
        onEnd(null)
        return null
    }

    private fun fail(cause: IOException): IOException {
        hasEnded = true
        onEnd(cause.message ?: cause.javaClass.simpleName)
        return cause
    }

    override fun close() {
        if (hasEnded) return
        hasEnded = true
        stream.close(isComplete = false)
        onEnd("the caller disconnected")
    }
}
