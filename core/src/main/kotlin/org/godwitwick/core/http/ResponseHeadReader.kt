package org.godwitwick.core.http

/**
 * Reads the head of one response strictly by RFC 9112, byte by byte. Lines may also end with a single LF.
 *
 * A server that stops within a head and then sends another response leaves a line that is no field, a status line inside a field,
 * or a CR inside a line. Lenient readers make one head of both.
 */
internal class ResponseHeadReader {
    private val line = StringBuilder()
    private var status: Int? = null
    private val fields = ArrayList<Pair<String, String>>()

    /** How many bytes have been read. */
    var bytesRead = 0
        private set

    /** Why the bytes are not the head of a response, or null. */
    var fault: String? = null
        private set

    /** Reads [byte]; returns the head if this was its last byte. Must not be called after a [fault]. */
    fun accept(byte: Byte): ResponseHead? {
        if (++bytesRead > MAX_HEAD_BYTES) return failed("the head exceeds $MAX_HEAD_BYTES bytes")
        val char = (byte.toInt() and BYTE_MASK).toChar()
        if (char != '\n') {
            line.append(char)
            return null
        }
        val text = line.removeSuffix("\r").toString()
        line.clear()
        return onLine(text)
    }

    private fun onLine(text: String): ResponseHead? {
        val knownStatus = status
        when {
            knownStatus == null -> status = ResponseSyntax.statusOf(text) ?: return failed("not a status line: ${shown(text)}")
            text.isEmpty() -> return ResponseHead(knownStatus, fields.toList())
            else -> fields += ResponseSyntax.fieldOf(text) ?: return failed("not a header field: ${shown(text)}")
        }
        return null
    }

    private fun failed(reason: String): ResponseHead? {
        fault = reason
        return null
    }

    companion object {
        /** Several times the heads that servers send; bounds the memory for a head without an end. */
        const val MAX_HEAD_BYTES = 64 * 1024
        private const val BYTE_MASK = 0xff
        private const val MAX_SHOWN_CHARS = 80

        /** Returns the beginning of [text] for a message, without control characters. */
        internal fun shown(text: String): String = text.take(MAX_SHOWN_CHARS).replace(Regex("\\p{Cntrl}"), "?")
    }
}
