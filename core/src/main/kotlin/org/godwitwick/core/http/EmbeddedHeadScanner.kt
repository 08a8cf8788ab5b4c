package org.godwitwick.core.http

/**
 * Searches the bytes of a body for the head of another response, which shows that the server has stopped within the body and begun a
 * new one. Only heads whose lines end with CRLF are found.
 *
 * @param isOther whether a head that was found is that of another response, as opposed to a part of the body.
 */
internal class EmbeddedHeadScanner(private val isOther: (ResponseHead) -> Boolean) {
    private var matchedChars = 0
    private val line = StringBuilder()
    private var status: Int? = null
    private val fields = ArrayList<Pair<String, String>>()
    private var headChars = 0

    /** Whether another head was found. */
    var hasFound = false
        private set

    /** Whether the last bytes may be the beginning of a head. */
    val endsLikeHead: Boolean get() = matchedChars > 0

    /** Whether the last bytes begin like a status line, and not just like any text. */
    val endsLikeStatusLine: Boolean get() = matchedChars == START.length

    /** Whether the last bytes are a whole status line, possibly with header fields. */
    val endsInsideHead: Boolean get() = status != null

    /** Reads the bytes of [buffer] from [from] to [to]. */
    fun accept(buffer: ByteArray, from: Int, to: Int) {
        var position = from
        while (position < to && !hasFound) {
            if (matchedChars == 0) {
                while (position < to && buffer[position] != FIRST_BYTE) position++
                if (position == to) return
            }
            val char = (buffer[position++].toInt() and BYTE_MASK).toChar()
            if (matchedChars < START.length) match(char) else collect(char)
        }
    }

    private fun match(char: Char) {
        matchedChars = when (char) {
            START[matchedChars] -> matchedChars + 1
            START[0] -> 1
            else -> 0
        }
        if (matchedChars == START.length) line.append(START)
    }

    private fun collect(char: Char) {
        line.append(char)
        headChars++
        if (char == '\n') {
            val text = line.toString()
            line.clear()
            if (text.endsWith(LINE_END)) onLine(text.removeSuffix(LINE_END)) else reset()
        } else if (line.length > MAX_LINE_CHARS) {
            dropAllButLastStart()
        }
    }

    // Another status line in the line counts, not what was collected before: the body may contain text that looks like a head.
    private fun onLine(text: String) {
        val start = ResponseSyntax.startOfStatusLine(text)
        val knownStatus = status
        when {
            start >= 0 -> beginHead(text.substring(start))

            knownStatus == null -> reset()

            text.isEmpty() -> {
                hasFound = isOther(ResponseHead(knownStatus, fields.toList()))
                if (!hasFound) reset()
            }

            headChars > ResponseHeadReader.MAX_HEAD_BYTES -> reset()

            else -> ResponseSyntax.fieldOf(text)?.let(fields::add) ?: reset()
        }
    }

    private fun beginHead(statusLine: String) {
        reset()
        status = ResponseSyntax.statusOf(statusLine) ?: return
        matchedChars = START.length
    }

    private fun dropAllButLastStart() {
        val start = line.lastIndexOf(START)
        val kept = if (start > 0) line.substring(start) else ""
        val end = line.substring(line.length - START.length)
        reset()
        if (kept.isEmpty()) {
            end.forEach(::match)
        } else {
            matchedChars = START.length
            line.append(kept)
        }
    }

    private fun reset() {
        matchedChars = 0
        line.clear()
        status = null
        fields.clear()
        headChars = 0
    }

    private companion object {
        const val START = ResponseSyntax.START
        const val FIRST_BYTE = START[0].code.toByte()
        const val LINE_END = "\r\n"
        const val MAX_LINE_CHARS = 8 * 1024
        const val BYTE_MASK = 0xff
    }
}
