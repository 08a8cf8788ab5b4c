package org.godwitwick.node.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** What a frame is for. */
@Serializable
enum class FrameKind { SEND, REQUEST, ANSWER, NO_ANSWER, PING, PONG }

/**
 * Header of a frame.
 *
 * @property from the sending instance.
 * @property to the instance that the frame is meant for, so that it can't be replayed to another one.
 * @property incarnation start of the sender's process in milliseconds; it grows with every restart.
 * @property sequence number of the frame among those from this sender to this receiver.
 * @property timeMs the sender's clock.
 * @property correlation number that an answer repeats.
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

/** A decoded and verified frame; [body] is a [PeerMessage] in CBOR, empty for pings and missing answers. */
class PeerFrame(val header: FrameHeader, val body: ByteArray)

/** Why a frame was refused. */
enum class FrameRefusal { TOO_LARGE, TRUNCATED, WRONG_MAC, MALFORMED, OTHER_RECEIVER, OLD_INCARNATION, REPLAYED, WRONG_TIME }
