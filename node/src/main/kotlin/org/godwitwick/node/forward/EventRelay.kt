package org.godwitwick.node.forward

import java.io.IOException
import java.io.InputStream

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
) : InputStream() {
    private var stream = start
    private var prefetched = start.first
    private var isFirstRead = true
    private var pending = ByteArray(0)
    private var position = 0
    private var hasEnded = false

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
        if (hasEnded) return false
        while (true) {
            try {
                val event = nextEvent() ?: return complete()
                accept(event)
                return true
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
        pending = event.bytes.toByteArray()
        position = 0
    }

    private fun complete(): Boolean {
        hasEnded = true
        stream.close(isComplete = true)
        onEnd(null)
        return false
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

    private companion object {
        const val BYTE_MASK = 0xff
    }
}
