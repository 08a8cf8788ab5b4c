package org.godwitwick.node.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Asks for the records of the stream `config` from [fromOffset] on; answered by [ConfigPullAnswer]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("cp")
class ConfigPull(@CborLabel(1) val fromOffset: Long) : PeerMessage

/** A log record on the wire. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class WireRecord(@CborLabel(1) val offset: Long, @CborLabel(2) val timeMs: Long, @CborLabel(3) val data: ByteArray)

/**
 * What a peer knows of the stream `config`.
 *
 * @property records all records from the asked offset up to before [nextOffset]; empty when [snapshot] is given.
 * @property snapshot the peer's state as a snapshot record when it no longer holds the asked records.
 * @property logEnd end of the log as it was stated [logEndAgeMs] ago, or -1 for never.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("ca")
class ConfigPullAnswer(
    @CborLabel(1) val nextOffset: Long,
    @CborLabel(2) val records: List<WireRecord>,
    @CborLabel(3) val snapshot: ByteArray? = null,
    @CborLabel(4) val logEnd: Long,
    @CborLabel(5) val logEndAgeMs: Long,
) : PeerMessage

/** Tells that the sender has applied all records before [nextOffset]; the receiver pulls what it lacks. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("cn")
class ConfigNotice(@CborLabel(1) val nextOffset: Long) : PeerMessage
