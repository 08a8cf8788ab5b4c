package org.godwitwick.node.forward

import okio.BufferedSource
import okio.ByteString
import okio.ByteString.Companion.encodeUtf8
import org.godwitwick.node.upstream.MalformedAnswerException
import java.io.IOException

/** A complete server-sent event; [id] is null if it has none, and [bytes] include the blank line that ends it. */
class ServerEvent(val id: Long?, val bytes: ByteString)

/** Reads whole server-sent events from [source]. */
class EventReader(private val source: BufferedSource) {
    /**
     * Returns the next event, or null at the end of the stream. Throws [IOException] if the stream ends inside an event or the
     * event is too large.
     */
    fun next(): ServerEvent? {
        val end = endOfEvent() ?: return null
        val bytes = source.readByteString(end + BLANK_LINE.size)
        return ServerEvent(idOf(bytes.utf8()), bytes)
    }

    // Returns the offset of the blank line that ends the event, or null at the end of the stream.
    private fun endOfEvent(): Long? {
        var searchedTo = 0L
        while (true) {
            val end = source.buffer.indexOf(BLANK_LINE, searchedTo)
            if (end >= 0) return end
            val size = source.buffer.size
            if (size > MAX_EVENT_BYTES) throw MalformedAnswerException("an event exceeds $MAX_EVENT_BYTES bytes")
            searchedTo = (size - BLANK_LINE.size + 1).coerceAtLeast(0)
            if (source.request(size + 1)) continue
            if (size == 0L) return null
            throw IOException("the stream ended inside an event")
        }
    }

    private fun idOf(text: String): Long? =
        text.lineSequence().firstOrNull { it.startsWith(ID_FIELD) }?.removePrefix(ID_FIELD)?.trim()?.toLongOrNull()

    private companion object {
        /** Enough for some thousand tokens with their framing. */
        const val MAX_EVENT_BYTES = 256L * 1024
        val BLANK_LINE = "\n\n".encodeUtf8()
        const val ID_FIELD = "id:"
    }
}
