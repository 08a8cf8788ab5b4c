package org.godwitwick.node.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import org.godwitwick.core.membership.RowDigest
import org.godwitwick.core.membership.RowKey
import org.godwitwick.core.membership.RowReach
import org.godwitwick.core.membership.RowTopic
import org.godwitwick.core.membership.VersionedRow
import org.godwitwick.core.model.InstanceId

/** A row on the wire. [topic] is an ordinal; a receiver skips rows of topics that it doesn't know. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class WireRow(
    @CborLabel(1) val topic: Int,
    @CborLabel(2) val owner: String,
    @CborLabel(3) val name: String,
    @CborLabel(4) val version: Long,
    @CborLabel(5) val ageMs: Long,
    @CborLabel(6) val body: ByteArray,
) {
    /** The row as received, or null for an unknown topic; its age counts from [sinceMs] on. */
    fun toRow(sinceMs: Long): VersionedRow? {
        val known = RowTopic.entries.getOrNull(topic) ?: return null
        return VersionedRow(RowKey(known, InstanceId(owner), name), version, sinceMs - ageMs.coerceAtLeast(0), body)
    }
}

/** Digest of the sender's rows; answered by [ExchangeAnswer]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("x")
class Exchange(@CborLabel(1) val reach: RowReach, @CborLabel(2) val hashes: LongArray, @CborLabel(3) val versions: LongArray) :
    PeerMessage {
    /** The digest that is carried. */
    fun digest(): RowDigest? = if (hashes.size == versions.size) RowDigest(hashes, versions) else null
}

/** Rows that the asking instance lacks, and hashes of those that it holds in higher versions. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("xa")
class ExchangeAnswer(@CborLabel(1) val rows: List<WireRow>, @CborLabel(2) val wanted: LongArray) : PeerMessage

/** Rows for the receiver; [isUrgent] ones are passed on in the receiver's data centre. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("rp")
class RowPush(@CborLabel(1) val rows: List<WireRow>, @CborLabel(2) val isUrgent: Boolean) : PeerMessage

/** This row as it is sent at [nowMs]. */
fun VersionedRow.toWire(nowMs: Long): WireRow = WireRow(key.topic.ordinal, key.owner.value, key.name, version, ageMs(nowMs), body)
