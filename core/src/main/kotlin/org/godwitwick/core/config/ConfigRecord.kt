package org.godwitwick.core.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Content of a record of the stream `config`, encoded as JSON. */
@Serializable
sealed interface ConfigRecord {
    /** A publication by an operator. */
    @Serializable
    @SerialName("publication")
    data class Published(val publication: Publication) : ConfigRecord

    /** The state after earlier records, for readers that lack those records. */
    @Serializable
    @SerialName("snapshot")
    data class Snapshot(val snapshot: ConfigSnapshot) : ConfigRecord
}

/**
 * The configuration state after the record at [offset].
 *
 * @property entries all entries that were ever published. Removed ones are included, because later changes are checked against
 * their versions.
 * @property history the most recent outcomes, oldest first.
 * @property snapshotOffset offset of the last snapshot record up to [offset], or -1 if there is none.
 * @property snapshotTimeMs log time of that record.
 */
@Serializable
data class ConfigSnapshot(
    val offset: Long,
    val entries: List<ConfigEntry>,
    val history: List<HistoryEntry>,
    val snapshotOffset: Long = -1,
    val snapshotTimeMs: Long = 0,
)

/** A record of the stream `config`, with its offset and its log time. */
class ConfigLogRecord(val offset: Long, val timeMs: Long, val data: ByteArray)

/** Encodes [record] as data of a log record. */
fun encodeConfigRecord(record: ConfigRecord): ByteArray =
    recordJson.encodeToString(ConfigRecord.serializer(), record).encodeToByteArray()

/** Decodes the data of a log record, or returns null if it is not a valid [ConfigRecord]. All readers skip such a record. */
fun decodeConfigRecord(data: ByteArray): ConfigRecord? = try {
    recordJson.decodeFromString(ConfigRecord.serializer(), data.decodeToString())
} catch (_: IllegalArgumentException) {
    null
}

/** Whether [data] is a snapshot that this version cannot read, as a later one has written it. */
fun isUnreadableSnapshot(data: ByteArray): Boolean = decodeConfigRecord(data) == null && try {
    val record = recordJson.parseToJsonElement(data.decodeToString()) as? JsonObject
    (record?.get("type") as? JsonPrimitive)?.content == "snapshot"
} catch (_: IllegalArgumentException) {
    false
}

private val recordJson = Json { classDiscriminator = "type" }
