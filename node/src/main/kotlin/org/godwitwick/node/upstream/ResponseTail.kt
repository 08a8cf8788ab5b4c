package org.godwitwick.node.upstream

/**
 * Follows the bytes that are received for one response, and tells which of them lie behind its body.
 *
 * A faulty server may stop within an answer and send another one on the same connection. The second one then completes the body of
 * the first, and only the bytes left over show it. Not thread safe.
 */
internal class ResponseTail {
    private val firstLine = StringBuilder()
    private var lineEnds = 0
    private var isInBody = false
    private var bodyBytes = 0L
    private var lastReceived = ByteArray(0)

    /** Records [count] received bytes, which are in [buffer] from [offset] on. */
    fun onReceived(buffer: ByteArray, offset: Int, count: Int) {
        var position = offset
        val end = offset + count
        while (!isInBody && position < end) onHeadByte(buffer[position++])
        if (position == end) return
        bodyBytes += end - position
        lastReceived = buffer.copyOfRange(position, end)
    }

    // An interim response (status 1xx) is followed by another head.
    private fun onHeadByte(byte: Byte) {
        val char = byte.toInt().toChar()
        if (firstLine.length < INTERIM.length) firstLine.append(char)
        if (char == '\r') return
        lineEnds = if (char == '\n') lineEnds + 1 else 0
        if (lineEnds < BLANK_LINE_ENDS) return
        isInBody = !firstLine.startsWith(INTERIM)
        firstLine.clear()
        lineEnds = 0
    }

    /** Whether bytes came with the end of a body of [length] bytes. */
    fun isFollowed(length: Long): Boolean = bodyBytes > length

    /**
     * Whether the bytes that came with the end of a body of [length] bytes begin another response. If they don't, the end of the body
     * is part of another one.
     */
    fun isFollowedByResponse(length: Long): Boolean {
        val count = (bodyBytes - length).coerceIn(0, lastReceived.size.toLong()).toInt()
        val following = lastReceived.copyOfRange(lastReceived.size - count, lastReceived.size).decodeToString()
        return following.startsWith(RESPONSE) || RESPONSE.startsWith(following)
    }

    private companion object {
        const val RESPONSE = "HTTP/1."
        const val INTERIM = "HTTP/1.1 1"
        const val BLANK_LINE_ENDS = 2
    }
}
