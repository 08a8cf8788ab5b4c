package org.godwitwick.node.forward

import org.godwitwick.node.http.ChunkedInputStream
import java.io.IOException

/**
 * A response body that passes on whole events as they arrive, and continues at another upstream when one breaks off.
 *
 * @param start the stream of which nothing was passed on yet.
 * @param lastEventId last event that the caller has, or null at the start.
 * @param resume opens a stream that continues after the given event, or returns null when the request ends here.
 * @param onEvent called for each event before it is passed on.
 * @param onEnd called once, with null when the answer is complete and otherwise with the cause.
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
        val id = event.id ?: throw IOException("an event has no id")
        if (last != null && id != last + 1) throw IOException("event $id came after event $last")
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
        onEnd("the caller left")
    }
}
