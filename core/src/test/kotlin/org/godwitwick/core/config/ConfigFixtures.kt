package org.godwitwick.core.config

import kotlinx.serialization.json.JsonPrimitive

internal fun change(name: String, value: Number?, expected: Long = NO_VERSION, scope: String = "fleet") =
    ConfigChange(name, ConfigScope(scope), value?.let { JsonPrimitive(it) }, expected)

internal fun publication(id: String, vararg changes: ConfigChange, author: String = "maarja", reason: String = "season") =
    Publication(id, author, 1_000, reason, changes.toList())

internal fun published(offset: Long, publication: Publication) =
    ConfigLogRecord(offset, offset * 1_000, encodeConfigRecord(ConfigRecord.Published(publication)))

internal fun snapshotRecord(offset: Long, state: ConfigState) =
    ConfigLogRecord(offset, offset * 1_000, encodeConfigRecord(ConfigRecord.Snapshot(state.toSnapshot())))

internal fun page(records: List<ConfigLogRecord>, from: Long = records.first().offset) = ConfigPage(
    from,
    records.last().offset + 1,
    records,
)

internal fun foldOf(records: List<ConfigLogRecord>) = ConfigFold().apply(page(records, 0))

internal const val QUEUE = "admission.queueMax"
internal const val SHARE = "admission.longShare"
