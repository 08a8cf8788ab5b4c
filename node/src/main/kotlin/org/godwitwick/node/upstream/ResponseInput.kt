package org.godwitwick.node.upstream

import okio.Buffer
import org.godwitwick.core.http.BodyFraming
import org.godwitwick.core.http.ResponseHead
import org.godwitwick.core.http.ResponseReader
import java.io.IOException
import java.io.InputStream

/**
 * What a client reads from [socket], of the bytes in [source]: the response to the current request and nothing else. A response is passed
 * on once its head is complete and sound; a fault in it ends the read with a [MalformedAnswerException]. Before the first request, and
 * on connections that are used otherwise, all bytes are passed on.
 *
 * Used by one thread at a time.
 */
internal class ResponseInput(private val socket: LimitedSocket, private val source: InputStream) : InputStream() {
    private var method = ""
    private var identity: AnswerIdentity? = null
    private var reader: ResponseReader? = null
    private var isPassedOver = false

    // Received bytes of the head, until it is complete.
    private val held = Buffer()

    // Bytes of the response that can be read.
    private val ready = Buffer()

    // Bytes behind the response.
    private val excess = Buffer()

    private val sentIds = SentRequestIds()

    /** Whether a request was sent on this connection. */
    val wasUsed: Boolean get() = reader != null

    /** Whether no further request may be sent: bytes were received that belong to no response, or there were too many requests. */
    val isUsedUp: Boolean get() = excess.size > 0 || sentIds.isFull

    /** Answers to earlier requests that arrived late, since the last call of [begin]. */
    var passedOverCount = 0
        private set

    /**
     * Begins to receive the response to a request with [method].
     *
     * @throws RepeatedRequestException if a request with the same id was sent on this connection before.
     */
    fun begin(method: String, identity: AnswerIdentity?) {
        if (identity != null && identity.requestId in sentIds) throw RepeatedRequestException()
        this.method = method
        this.identity = identity
        passedOverCount = 0
        beginResponse()
        identity?.let { sentIds.add(it.requestId) }
    }

    private fun beginResponse() {
        reader = ResponseReader(method, identity?.header, sentIds::contains)
        isPassedOver = false
        held.clear()
        ready.clear()
    }

    override fun read(): Int {
        val single = ByteArray(1)
        return if (read(single, 0, 1) < 0) -1 else single[0].toInt() and BYTE_MASK
    }

    override fun read(target: ByteArray, offset: Int, length: Int): Int {
        if (length == 0) return 0
        while (true) {
            if (ready.size > 0) return ready.read(target, offset, length)
            val reader = reader ?: return source.read(target, offset, length)
            if (reader.isComplete) return readBehindResponse(target, offset, length)
            val count = if (excess.size > 0) excess.read(target, offset, length) else source.read(target, offset, length)
            if (count < 0) {
                reader.faultAtEnd()?.let { throw MalformedAnswerException(it) }
                return count
            }
            val passedOn = accept(reader, target, offset, count)
            if (passedOn > 0) return passedOn
        }
    }

    // Returns how many bytes at the beginning of the received ones can be read in place.
    private fun accept(reader: ResponseReader, received: ByteArray, offset: Int, count: Int): Int {
        val isHeadKnown = reader.head != null
        val end = reader.accept(received, offset, offset + count)
        reader.fault?.let { throw MalformedAnswerException(it) }
        val responseBytes = end - offset
        if (responseBytes < count) putBack(received, end, count - responseBytes)
        if (reader.isComplete) checkEnd(reader)
        if (isHeadKnown && !isPassedOver) return responseBytes
        if (!isHeadKnown) {
            held.write(received, offset, responseBytes)
            val head = reader.head
            if (head == null) {
                // Interim responses are passed on at once: the client may wait for one before it sends the rest of its request.
                ready.write(held, held.size - reader.incompleteHeadBytes)
                return 0
            }
            isPassedOver = answersEarlierRequest(head)
            if (!isPassedOver) ready.writeAll(held)
        }
        if (isPassedOver) passOver(reader)
        return 0
    }

    // The bytes were received before those that are in the buffer.
    private fun putBack(received: ByteArray, offset: Int, count: Int) {
        val later = excess.copy()
        excess.clear()
        excess.write(received, offset, count)
        excess.writeAll(later)
    }

    private fun passOver(reader: ResponseReader) {
        if (reader.framing ==
            BodyFraming.Connection
        ) {
            throw MalformedAnswerException("the answer to an earlier request has no end")
        }
        socket.onBodyRead()
        if (!reader.isComplete) return
        passedOverCount++
        beginResponse()
    }

    private fun answersEarlierRequest(head: ResponseHead): Boolean {
        val expected = identity ?: return false
        val id = head.value(expected.header) ?: return false
        return id != expected.requestId && id in sentIds
    }

    // The rest of another response, behind a body with a length, shows that the end of the body is part of that one.
    private fun checkEnd(reader: ResponseReader) {
        if (excess.size == 0L && reader.mayEndWithOtherResponse) {
            receiveExcess(if (reader.endsLikeStatusLine) STATUS_LINE_TIMEOUT_MS else EXCESS_TIMEOUT_MS)
        }
        if (!reader.isEndStatedByLength || excess.size == 0L) return
        if (!ResponseReader.mayBegin(excess.peek().readByteArray())) {
            throw MalformedAnswerException("the body is followed by bytes that begin no response")
        }
    }

    // Waits for what follows the response, but only for a short time, as usually nothing does.
    private fun receiveExcess(withinMs: Int) {
        val timeoutMs = socket.soTimeout
        val received = ByteArray(EXCESS_BYTES)
        try {
            socket.soTimeout = withinMs
            val count = source.read(received)
            if (count > 0) excess.write(received, 0, count)
        } catch (_: IOException) {
            // Nothing follows in time, or the connection was lost behind the response.
        } finally {
            socket.soTimeout = timeoutMs
        }
    }

    private fun readBehindResponse(target: ByteArray, offset: Int, length: Int): Int {
        val count = source.read(target, offset, length)
        if (count > 0) excess.write(target, offset, count)
        return -1
    }

    override fun available(): Int = ready.size.toInt() + source.available()

    override fun close() = source.close()

    private companion object {
        const val BYTE_MASK = 0xff
        const val EXCESS_BYTES = 1_024

        /** Longer than a delayed acknowledgement, which can separate two packets of one response. */
        const val EXCESS_TIMEOUT_MS = 50

        /** Longer than the shortest retransmission timeout of common TCP implementations, 200 ms. */
        const val STATUS_LINE_TIMEOUT_MS = 300
    }
}
