package org.godwitwick.core.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Content of a record of the stream `config`, as JSON text. */
@Serializable
sealed interface ConfigRecord {
    /** A publication. */
    @Serializable
    @SerialName("publication")
    data class Published(val publication: Publication) : ConfigRecord

    /** The folded state, for readers that lack the records before it. */
    @Serializable
    @SerialName("snapshot")
    data class Snapshot(val snapshot: ConfigSnapshot) : ConfigRecord
}

/**
 * The folded state after the record at [offset].
 *
 * @property entries entries that were ever published, removed ones included because their versions count on.
 * @property history the last outcomes, the oldest first.
 * @property snapshotOffset offset of the last snapshot record up to [offset], -1 for none.
 * @property snapshotTimeMs the log's time of that record.
 */
@Serializable
data class ConfigSnapshot(
    val offset: Long,
    val entries: List<ConfigEntry>,
    val history: List<HistoryEntry>,
    val snapshotOffset: Long = -1,
    val snapshotTimeMs: Long = 0,
)

/** One record of the stream with its place in it. */
class ConfigLogRecord(val offset: Long, val timeMs: Long, val data: ByteArray)

/** Encodes [record] as it is appended to the log. */
fun encodeConfigRecord(record: ConfigRecord): ByteArray =
    recordJson.encodeToString(ConfigRecord.serializer(), record).encodeToByteArray()

/** Decodes the data of a log record, or null when it isn't a record of this stream; every reader skips such a record alike. */
fun decodeConfigRecord(data: ByteArray): ConfigRecord? = try {
    recordJson.decodeFromString(ConfigRecord.serializer(), data.decodeToString())
} catch (_: IllegalArgumentException) {
    null
}

private val recordJson = Json { classDiscriminator = "type" }
