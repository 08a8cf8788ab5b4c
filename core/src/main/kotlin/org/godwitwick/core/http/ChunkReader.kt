package org.godwitwick.core.http

/** Follows a chunked body and its trailer fields (RFC 9112, section 7.1) to its end, without its content. */
internal class ChunkReader {
    private enum class Part { SIZE, DATA, DATA_END, TRAILERS, DONE }

    private val line = StringBuilder()
    private var part = Part.SIZE
    private var chunkBytesLeft = 0L
    private var trailerBytes = 0

    /** Why the bytes are no chunked body, or null. */
    var fault: String? = null
        private set

    /** Whether the end of the body has been read. */
    val isComplete: Boolean get() = part == Part.DONE

    /** Reads the bytes of [buffer] from [from] to [to] and returns the index behind the last one that belongs to the body. */
    fun accept(buffer: ByteArray, from: Int, to: Int): Int {
        var position = from
        while (position < to && !isComplete && fault == null) {
            if (part == Part.DATA) {
                val count = minOf(chunkBytesLeft, (to - position).toLong()).toInt()
                position += count
                chunkBytesLeft -= count
                if (chunkBytesLeft == 0L) part = Part.DATA_END
            } else {
                onLineByte(buffer[position++])
            }
        }
        return position
    }

    private fun onLineByte(byte: Byte) {
        val char = (byte.toInt() and BYTE_MASK).toChar()
        if (char != '\n') {
            line.append(char)
            if (line.length > MAX_LINE_CHARS) fault = "a line between the chunks exceeds $MAX_LINE_CHARS bytes"
            return
        }
        val text = line.removeSuffix("\r").toString()
        line.clear()
        when (part) {
            Part.SIZE -> onSize(text)
            Part.DATA_END -> if (text.isEmpty()) part = Part.SIZE else fault = "a chunk is longer than its size"
            else -> onTrailer(text)
        }
    }

    private fun onSize(text: String) {
        val size = SIZE_LINE.matchEntire(text)?.groupValues?.get(1)?.toLongOrNull(HEX)
        when {
            size == null -> fault = "not the size of a chunk: ${ResponseHeadReader.shown(text)}"

            size == 0L -> part = Part.TRAILERS

            else -> {
                chunkBytesLeft = size
                part = Part.DATA
            }
        }
    }

    private fun onTrailer(text: String) {
        trailerBytes += text.length
        when {
            text.isEmpty() -> part = Part.DONE
            trailerBytes > MAX_TRAILER_BYTES -> fault = "the trailer fields exceed $MAX_TRAILER_BYTES bytes"
            ResponseSyntax.fieldOf(text) == null -> fault = "not a trailer field: ${ResponseHeadReader.shown(text)}"
        }
    }

    private companion object {
        const val MAX_LINE_CHARS = 16 * 1024
        const val MAX_TRAILER_BYTES = ResponseHeadReader.MAX_HEAD_BYTES
        const val BYTE_MASK = 0xff
        const val HEX = 16

        /** The size may be followed by extensions. */
        val SIZE_LINE = Regex("""([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\r\u0000]*)?""")
    }
}
