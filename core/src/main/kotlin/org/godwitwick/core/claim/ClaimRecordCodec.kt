package org.godwitwick.core.claim

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** Format of log records in claim streams: one version byte, followed by a CBOR batch of entries. */
@OptIn(ExperimentalSerializationApi::class)
object ClaimRecordCodec {
    private const val VERSION: Byte = 1

    @Serializable
    private data class Batch(val entries: List<ClaimEntry>)

    /** Encodes [entries] as a record. An empty list is valid and shows that the stream is live. */
    fun encode(entries: List<ClaimEntry>): ByteArray = byteArrayOf(VERSION) + Cbor.encodeToByteArray(Batch(entries))

    /** Decodes the entries of a record, or returns null if the record is malformed or of another version. */
    fun decode(data: ByteArray): List<ClaimEntry>? {
        if (data.firstOrNull() != VERSION) return null
        return try {
            val entries = Cbor.decodeFromByteArray<Batch>(data.copyOfRange(1, data.size)).entries
            entries.takeIf { all -> all.all { it.key.key.isWellFormed } }
        } catch (_: IllegalArgumentException) {
            null
        }
    }
}
