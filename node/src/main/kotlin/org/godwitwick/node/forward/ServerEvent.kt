package org.godwitwick.node.forward

import okio.BufferedSource
import okio.ByteString
import okio.ByteString.Companion.encodeUtf8
import java.io.IOException

/** One whole event of a stream, with the blank line that ends it. */
class ServerEvent(val id: Long?, val bytes: ByteString)

/** Reads whole server-sent events from [source]. */
class EventReader(private val source: BufferedSource) {
    /** The next event, or null at the end of the stream; fails when the stream ends inside an event. */
    fun next(): ServerEvent? {
        val end = source.indexOf(BLANK_LINE)
        if (end < 0) {
            if (source.exhausted()) return null
            throw IOException("the stream ended inside an event")
        }
        val bytes = source.readByteString(end + BLANK_LINE.size)
        return ServerEvent(idOf(bytes.utf8()), bytes)
    }

    private fun idOf(text: String): Long? =
        text.lineSequence().firstOrNull { it.startsWith(ID_FIELD) }?.removePrefix(ID_FIELD)?.trim()?.toLongOrNull()

    private companion object {
        val BLANK_LINE = "\n\n".encodeUtf8()
        const val ID_FIELD = "id:"
    }
}
