package org.godwitwick.node.peer

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class PeerFrameTest {
    private val codec = FrameCodec("secret".toByteArray(), maxFrameBytes = 1_000)

    private fun header(sequence: Long = 0, incarnation: Long = 5, timeMs: Long = 1_000, to: String = "b") =
        FrameHeader("a", to, incarnation, sequence, timeMs, FrameKind.SEND, 0)

    // Guards against frames of processes without the secret, and against modification of a header or body in transit.
    @Test
    fun `a frame with another secret or a changed byte is refused`() {
        val frame = checkNotNull(codec.encode(header(), "body".toByteArray()).get())
        expectThat(codec.decode(frame).get()?.body?.decodeToString()).isEqualTo("body")
        val other = FrameCodec("other".toByteArray(), 1_000)
        expectThat(other.decode(frame).getError()).isEqualTo(FrameRefusal.WRONG_MAC)
        frame.indices.forEach { i ->
            val changed = frame.copyOf().also { it[i] = (it[i] + 1).toByte() }
            expectThat(codec.decode(changed).getError()).isEqualTo(FrameRefusal.WRONG_MAC)
        }
    }

    // Guards against parsing a truncated frame, and against frames that would exhaust the receiver's memory.
    @Test
    fun `a truncated frame and an oversized one are refused`() {
        val frame = checkNotNull(codec.encode(header(), ByteArray(100)).get())
        listOf(frame.size - 1, 40, 33, 10, 0).forEach {
            val refusal = codec.decode(frame.copyOf(it)).getError()
            expectThat(refusal).isEqualTo(if (it < 34) FrameRefusal.TRUNCATED else FrameRefusal.WRONG_MAC)
        }
        expectThat(codec.encode(header(), ByteArray(1_000)).getError()).isEqualTo(FrameRefusal.TOO_LARGE)
    }

    // Guards against recorded frames that are sent again: to the same or another instance, later, or after a restart of the
    // sender.
    @Test
    fun `replayed, late, misdirected and old-incarnation frames are refused and reordered frames are accepted`() {
        val guard = ReplayGuard("b", maxSkewMs = 60_000)
        expectThat(guard.refusalOf(header(7), 1_000)).isNull()
        expectThat(guard.refusalOf(header(7), 1_000)).isEqualTo(FrameRefusal.REPLAYED)
        expectThat(guard.refusalOf(header(6), 1_000)).isNull()
        expectThat(guard.refusalOf(header(6), 1_000)).isEqualTo(FrameRefusal.REPLAYED)
        expectThat(guard.refusalOf(header(8), 61_001)).isEqualTo(FrameRefusal.WRONG_TIME)
        expectThat(guard.refusalOf(header(8, to = "c"), 1_000)).isEqualTo(FrameRefusal.OTHER_RECEIVER)
        expectThat(guard.refusalOf(header(0, incarnation = 6), 1_000)).isNull()
        expectThat(guard.refusalOf(header(9, incarnation = 5), 1_000)).isEqualTo(FrameRefusal.OLD_INCARNATION)
        expectThat(guard.refusalOf(header(10_000, incarnation = 6), 1_000)).isNull()
        expectThat(guard.refusalOf(header(1, incarnation = 6), 1_000)).isEqualTo(FrameRefusal.REPLAYED)
    }
}
