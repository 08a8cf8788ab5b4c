package org.godwitwick.core.claim

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** Format of log records in claim streams: one byte of version, then a CBOR batch of entries. */
@OptIn(ExperimentalSerializationApi::class)
object ClaimRecordCodec {
    private const val VERSION: Byte = 1

    @Serializable
    private data class Batch(val entries: List<ClaimEntry>)

    /** One record with [entries]; an empty list is valid and marks the stream as live. */
    fun encode(entries: List<ClaimEntry>): ByteArray = byteArrayOf(VERSION) + Cbor.encodeToByteArray(Batch(entries))

    /** The entries of a record, or null when this version can't read it. */
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
