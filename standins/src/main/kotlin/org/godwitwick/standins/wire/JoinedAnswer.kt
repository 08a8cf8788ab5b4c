package org.godwitwick.standins.wire

import java.net.Socket
import java.util.concurrent.TimeUnit

/** Where a server stops within its first answer. */
sealed interface AnswerCut {
    /** Behind the first [bytes] bytes of the head. */
    data class InHead(val bytes: Int) : AnswerCut

    /** Behind the head. */
    data object BehindHead : AnswerCut

    /** Behind [thousandths] of what follows the head. */
    data class InContent(val thousandths: Int) : AnswerCut

    /** Before the last [bytes] bytes. */
    data class BeforeEnd(val bytes: Int) : AnswerCut

    /** So that the second answer has as many bytes as are missing, if the first one has so many behind its head. */
    data object FilledExactly : AnswerCut

    companion object {
        private val MISSING_BYTES = 1..20
        private val THOUSANDTHS = 25..975 step 50

        /** All cuts within a head of [headBytes] bytes. */
        fun inHead(headBytes: Int): List<AnswerCut> = (1 until headBytes).map(::InHead)

        /** Cuts behind the head. */
        val behindHead: List<AnswerCut> =
            MISSING_BYTES.map(::BeforeEnd) + THOUSANDTHS.map(::InContent) + BehindHead + FilledExactly
    }
}

/** In which packets a second answer is written. */
enum class SecondPackets {
    ONE,
    SEVEN_BYTES,

    /** The first packet has as many bytes as the first answer lacks. */
    SPLIT_AT_END,
}

/**
 * The answers of a server that stops within its first one and writes a whole second one on the same connection.
 *
 * @property lateMs time between the two.
 */
class JoinedAnswer(
    private val first: WireAnswer,
    private val second: WireAnswer,
    private val cut: AnswerCut,
    private val packets: SecondPackets,
    private val lateMs: Long,
) {
    /**
     * Writes both answers to [socket], and closes it if the first one ends with its connection. Returns the longest time between two
     * packets of the second one, in milliseconds.
     */
    fun write(socket: Socket): Long {
        socket.tcpNoDelay = true
        val out = socket.getOutputStream()
        val firstBytes = first.bytes
        val secondBytes = second.bytes
        val sentBytes = sentBytes(firstBytes.size, secondBytes.size)
        out.write(firstBytes, 0, sentBytes)
        out.flush()
        Thread.sleep(lateMs)
        var writtenAtNs = System.nanoTime()
        var longestPauseNs = 0L
        packetsOf(secondBytes, firstBytes.size - sentBytes).forEachIndexed { number, packet ->
            if (number > 0 && packets == SecondPackets.SPLIT_AT_END) Thread.sleep(SPLIT_MS)
            out.write(packet)
            out.flush()
            val nowNs = System.nanoTime()
            longestPauseNs = maxOf(longestPauseNs, nowNs - writtenAtNs)
            writtenAtNs = nowNs
        }
        if (first.bodyEnd == BodyEnd.CONNECTION) socket.close()
        return TimeUnit.NANOSECONDS.toMillis(longestPauseNs)
    }

    private fun sentBytes(wholeBytes: Int, secondBytes: Int): Int = when (cut) {
        is AnswerCut.InHead -> cut.bytes

        AnswerCut.BehindHead -> first.headBytes

        is AnswerCut.InContent ->
            first.headBytes + ((wholeBytes - first.headBytes).toLong() * cut.thousandths / THOUSAND).toInt()

        is AnswerCut.BeforeEnd -> wholeBytes - cut.bytes

        AnswerCut.FilledExactly -> (wholeBytes - secondBytes).coerceAtLeast(first.headBytes)
    }

    private fun packetsOf(bytes: ByteArray, missingBytes: Int): List<ByteArray> = when (packets) {
        SecondPackets.ONE -> listOf(bytes)

        SecondPackets.SEVEN_BYTES -> bytes.asList().chunked(SMALL_PACKET_BYTES) { it.toByteArray() }

        SecondPackets.SPLIT_AT_END -> missingBytes.coerceAtMost(bytes.size).let { at ->
            listOf(bytes.copyOfRange(0, at), bytes.copyOfRange(at, bytes.size)).filter { it.isNotEmpty() }
        }
    }

    companion object {
        /**
         * Bound on the result of [write]. If the server was held up for longer, the end of its first answer may look like that of a
         * whole one.
         */
        const val MAX_PAUSE_MS = 25L
        private const val SPLIT_MS = 4L
        private const val SMALL_PACKET_BYTES = 7
        private const val THOUSAND = 1_000
    }
}
