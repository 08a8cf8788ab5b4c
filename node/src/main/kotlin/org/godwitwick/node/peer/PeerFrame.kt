package org.godwitwick.node.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Purpose of a frame, as its [name] on the wire. Later versions may send others than the ones named here. */
@Serializable
@JvmInline
value class FrameKind(val name: String) {
    companion object {
        val SEND = FrameKind("SEND")
        val REQUEST = FrameKind("REQUEST")
        val ANSWER = FrameKind("ANSWER")
        val NO_ANSWER = FrameKind("NO_ANSWER")
        val PING = FrameKind("PING")
        val PONG = FrameKind("PONG")
    }
}

/**
 * Header of a frame.
 *
 * @property from the sending instance.
 * @property to the receiving instance; prevents a recorded frame from being replayed to another instance.
 * @property incarnation start time of the sender's process in milliseconds; increases with every restart.
 * @property sequence sequence number among the frames from this sender to this receiver.
 * @property timeMs time at which the frame was encoded, on the sender's clock.
 * @property correlation number of a request, repeated in its answer.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class FrameHeader(
    @CborLabel(1) val from: String,
    @CborLabel(2) val to: String,
    @CborLabel(3) val incarnation: Long,
    @CborLabel(4) val sequence: Long,
    @CborLabel(5) val timeMs: Long,
    @CborLabel(6) val kind: FrameKind,
    @CborLabel(7) val correlation: Long,
)

/** A verified and decoded frame. [body] is a [PeerMessage] in CBOR, or empty for pings, pongs and [FrameKind.NO_ANSWER]. */
class PeerFrame(val header: FrameHeader, val body: ByteArray)

/** Reason why a frame was refused. */
enum class FrameRefusal {
    TOO_LARGE,
    TRUNCATED,
    WRONG_MAC,
    MALFORMED,
    OTHER_RECEIVER,
    OLD_INCARNATION,
    REPLAYED,
    WRONG_TIME,
    NO_MEMORY,
}
