package org.godwitwick.node.config

import kotlinx.serialization.json.JsonPrimitive
import org.godwitwick.core.config.ConfigChange
import org.godwitwick.core.config.ConfigRecord
import org.godwitwick.core.config.NO_VERSION
import org.godwitwick.core.config.Publication
import org.godwitwick.core.config.encodeConfigRecord
import org.godwitwick.node.platform.LogPage
import org.godwitwick.node.platform.LogRecord

internal fun queueMax(id: String, value: Int, expected: Long = NO_VERSION, author: String = "maarja") = Publication(
    id,
    author,
    1_000,
    "season",
    listOf(ConfigChange("admission.queueMax", value = JsonPrimitive(value), expectedVersion = expected)),
)

internal fun record(offset: Long, publication: Publication) =
    LogRecord(offset, offset, encodeConfigRecord(ConfigRecord.Published(publication)))

internal fun pageOf(vararg records: LogRecord, earliest: Long = 0, end: Long = records.last().offset + 1) =
    LogPage(earliest, end, records.toList())
