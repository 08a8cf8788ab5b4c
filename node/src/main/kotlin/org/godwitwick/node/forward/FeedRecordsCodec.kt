package org.godwitwick.node.forward

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import okio.Buffer
import okio.DeflaterSink
import okio.IOException
import okio.InflaterSource
import okio.buffer
import org.godwitwick.node.peer.FeedRecords
import org.godwitwick.node.peer.peerCbor
import java.util.zip.Deflater
import java.util.zip.Inflater

/** Encodes records for another instance: CBOR, deflated because configurations and registrations are repetitive. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encodeFeedRecords(records: List<StoredRecord>): ByteArray {
    if (records.isEmpty()) return ByteArray(0)
    val message = FeedRecords(records.map { it.key }, records.map { it.value ?: ByteArray(0) })
    val packed = Buffer()
    val deflater = Deflater(Deflater.BEST_SPEED)
    DeflaterSink(packed, deflater).buffer().use { it.write(peerCbor.encodeToByteArray(FeedRecords.serializer(), message)) }
    return packed.readByteArray()
}

/** Decodes the records in [bytes]; returns null if they are malformed or exceed [MAX_UNPACKED_BYTES] when inflated. */
@OptIn(ExperimentalSerializationApi::class)
internal fun decodeFeedRecords(bytes: ByteArray): List<StoredRecord>? {
    if (bytes.isEmpty()) return emptyList()
    return try {
        // Closing the source frees the off-heap memory of the inflater.
        val unpacked = InflaterSource(Buffer().write(bytes), Inflater()).buffer().use { source ->
            if (source.request(MAX_UNPACKED_BYTES + 1)) return null
            source.readByteArray()
        }
        val message = peerCbor.decodeFromByteArray(FeedRecords.serializer(), unpacked)
        if (message.keys.size != message.values.size) return null
        message.keys.zip(message.values) { key, value -> StoredRecord(key, value.takeIf { it.isNotEmpty() }) }
    } catch (_: IOException) {
        null
    } catch (_: SerializationException) {
        null
    }
}

/** Enough for several thousand registrations, or sixteen configurations of the largest size that the store accepts. */
private const val MAX_UNPACKED_BYTES = 4L shl 20
