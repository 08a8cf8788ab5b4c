package org.godwitwick.core.http

/**
 * Follows the bytes that a server sends as the response to one request, strictly by RFC 9112, and tells where it ends and whether it is
 * one response. A faulty server may stop within a response and send another one on the same connection. Not thread safe.
 *
 * @param method method of the request.
 * @param idHeader name of the header by which responses name their request, or null if they don't.
 * @param isSent whether a request with an id was sent on the connection, this one or an earlier one.
 */
class ResponseReader(private val method: String, private val idHeader: String?, private val isSent: (String) -> Boolean) {
    private var headReader = ResponseHeadReader()
    private val chunks = ChunkReader()
    private val scanner = EmbeddedHeadScanner(::isOtherResponse)
    private var bodyBytesLeft = 0L

    /** The head of the final response, or null as long as it is not complete. */
    var head: ResponseHead? = null
        private set

    /** How many of the bytes read so far belong to a head that is not complete. */
    val incompleteHeadBytes: Int get() = if (head == null) headReader.bytesRead else 0

    /** How the body ends, or null as long as the head is not complete. */
    var framing: BodyFraming? = null
        private set

    /** Why the bytes are not one response, or null. */
    var fault: String? = null
        private set

    /** Whether the last byte of the response has been read; never true for one that ends with its connection. */
    val isComplete: Boolean
        get() = when (framing) {
            is BodyFraming.Length -> bodyBytesLeft == 0L
            BodyFraming.Chunks -> chunks.isComplete
            else -> false
        }

    /** Whether nothing but the length in the head shows where the body ends, so that its end may be part of another response. */
    val isEndStatedByLength: Boolean get() = framing.let { it is BodyFraming.Length && it.bytes > 0 }

    /**
     * Whether the last bytes of a body with a length may be the beginning of another response. Further bytes would show that they
     * are.
     */
    val mayEndWithOtherResponse: Boolean get() = framing is BodyFraming.Length && scanner.endsLikeHead

    /** Whether the last bytes of a body with a length begin like a status line. */
    val endsLikeStatusLine: Boolean get() = framing is BodyFraming.Length && scanner.endsLikeStatusLine

    /** Reads the bytes of [buffer] from [from] to [to]. Returns the index behind the last one that belongs to the response. */
    fun accept(buffer: ByteArray, from: Int, to: Int): Int {
        var position = from
        while (framing == null && fault == null && position < to) onHeadByte(buffer[position++])
        if (fault != null || framing == null) return position
        val bodyFrom = position
        when (framing) {
            is BodyFraming.Length -> {
                position += minOf(bodyBytesLeft, (to - position).toLong()).toInt()
                bodyBytesLeft -= position - bodyFrom
            }

            BodyFraming.Chunks -> {
                position = chunks.accept(buffer, position, to)
                fault = chunks.fault
            }

            else -> position = to
        }
        scanner.accept(buffer, bodyFrom, position)
        if (scanner.hasFound) fault = "the body contains another response"
        if (fault == null && isComplete && framing is BodyFraming.Length && scanner.endsInsideHead) fault = ENDS_INSIDE_HEAD
        return position
    }

    /** Returns why the response isn't one if the connection ends now, or null. */
    fun faultAtEnd(): String? = if (framing == BodyFraming.Connection && scanner.endsInsideHead) ENDS_INSIDE_HEAD else fault

    private fun onHeadByte(byte: Byte) {
        val read = headReader.accept(byte)
        fault = headReader.fault
        when {
            read == null -> Unit

            read.status == SWITCHING_PROTOCOLS -> fault = "the answer switches the protocol"

            read.isInterim -> headReader = ResponseHeadReader()

            else -> {
                head = read
                onFraming(BodyFraming.of(method, read))
            }
        }
    }

    private fun onFraming(framing: BodyFraming) {
        this.framing = framing
        when (framing) {
            is BodyFraming.Length -> bodyBytesLeft = framing.bytes
            is BodyFraming.Unreadable -> fault = framing.fault
            BodyFraming.Chunks, BodyFraming.Connection -> Unit
        }
    }

    // A body that consists of HTTP messages may contain heads that name no request.
    private fun isOtherResponse(embedded: ResponseHead): Boolean {
        val outer = head ?: return false
        val id = idHeader?.let(embedded::value)
        if (id != null && isSent(id)) return true
        return id == idHeader?.let(outer::value) && (id != null || !carriesMessages(outer))
    }

    private fun carriesMessages(head: ResponseHead): Boolean {
        val type = head.value("Content-Type")?.substringBefore(';')?.trim()?.lowercase() ?: return false
        return type.startsWith("multipart/") || type in MESSAGE_TYPES
    }

    companion object {
        private const val SWITCHING_PROTOCOLS = 101
        private const val ENDS_INSIDE_HEAD = "the body ends inside the head of another response"
        private val MESSAGE_TYPES = setOf("message/http", "application/http")

        /** Whether [bytes] may be the beginning of a response. */
        fun mayBegin(bytes: ByteArray): Boolean {
            val text = String(bytes, 0, minOf(bytes.size, ResponseSyntax.START.length), Charsets.ISO_8859_1)
            return ResponseSyntax.START.startsWith(text)
        }
    }
}
