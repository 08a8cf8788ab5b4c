package org.godwitwick.node.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Request for the records of the stream `config` from [fromOffset] on. Answered by [ConfigPullAnswer]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("cp")
class ConfigPull(@CborLabel(1) val fromOffset: Long) : PeerMessage

/** A log record on the wire. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class WireRecord(@CborLabel(1) val offset: Long, @CborLabel(2) val timeMs: Long, @CborLabel(3) val data: ByteArray)

/**
 * Answer to a [ConfigPull]: the peer's copy of the stream `config`.
 *
 * @property nextOffset offset that follows the returned records or the snapshot.
 * @property records all records from the requested offset up to, but not including, [nextOffset]; empty if [snapshot] is given.
 * @property snapshot the peer's state as a snapshot record if it no longer has the requested records, else null.
 * @property logEnd end offset of the log, as known [logEndAgeMs] ago, or -1 if it was never known.
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

/** Notification that the sender has applied all records before [nextOffset]; the receiver pulls the records it lacks. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("cn")
class ConfigNotice(@CborLabel(1) val nextOffset: Long) : PeerMessage
