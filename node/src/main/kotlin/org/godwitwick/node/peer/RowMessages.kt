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

/** A row on the wire. [topic] is the ordinal of a [RowTopic]; receivers ignore rows with an unknown topic. */
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
    /** Returns the row, dated [ageMs] before [sinceMs], or null if its topic is unknown. */
    fun toRow(sinceMs: Long): VersionedRow? {
        val known = RowTopic.entries.getOrNull(topic) ?: return null
        return VersionedRow(RowKey(known, InstanceId(owner), name), version, sinceMs - ageMs.coerceAtLeast(0), body)
    }
}

/**
 * Digest of the sender's rows with the given [reach]; [hashes] and [versions] are parallel lists. Answered by [ExchangeAnswer].
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("x")
class Exchange(@CborLabel(1) val reach: RowReach, @CborLabel(2) val hashes: LongArray, @CborLabel(3) val versions: LongArray) :
    PeerMessage {
    /** The digest, or null if the lists differ in length. */
    fun digest(): RowDigest? = if (hashes.size == versions.size) RowDigest(hashes, versions) else null
}

/** Rows that the requesting instance lacks, and in [wanted] the key hashes of the rows of which it has a newer version. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("xa")
class ExchangeAnswer(@CborLabel(1) val rows: List<WireRow>, @CborLabel(2) val wanted: LongArray) : PeerMessage

/** Rows for the receiver. It forwards [isUrgent] ones from another data centre to the instances of its own. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("rp")
class RowPush(@CborLabel(1) val rows: List<WireRow>, @CborLabel(2) val isUrgent: Boolean) : PeerMessage

/** Converts this row to its wire form, with its age at [nowMs]. */
fun VersionedRow.toWire(nowMs: Long): WireRow = WireRow(key.topic.ordinal, key.owner.value, key.name, version, ageMs(nowMs), body)
