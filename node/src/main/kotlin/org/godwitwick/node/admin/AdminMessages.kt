package org.godwitwick.node.admin

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import org.godwitwick.core.config.ConfigFault
import org.godwitwick.core.config.EntryConflict
import org.godwitwick.core.config.HistoryEntry
import org.godwitwick.node.http.ErrorBody

/** Answer to an accepted publication. [notConfirmed] instances weren't known to have the version when the answer was sent. */
@Serializable
data class PublishAnswer(val id: String, val offset: Long, val inForce: List<String>, val notConfirmed: List<String>)

/** Answer to a publication that didn't take effect, or of which that isn't known. */
@Serializable
data class PublishFailure(
    val error: ErrorBody,
    val conflicts: List<EntryConflict> = emptyList(),
    val faults: List<ConfigFault> = emptyList(),
)

/**
 * One value in force.
 *
 * @property version version to state as `expectedVersion` in the next change of this entry.
 * @property author who published it, null for a built-in default.
 */
@Serializable
data class ShownEntry(
    val name: String,
    val scope: String,
    val unit: String,
    val value: JsonElement,
    val version: Long,
    val author: String? = null,
    val atMs: Long? = null,
    val reason: String? = null,
)

/** Answer of `GET /admin/v1/config`. */
@Serializable
data class ConfigAnswer(
    val appliedOffset: Long,
    val freshness: String,
    val defaults: List<ShownEntry>,
    val exceptions: List<ShownEntry>,
)

/** Answer of `GET /admin/v1/history`, the newest outcome first. */
@Serializable
data class HistoryAnswer(val appliedOffset: Long, val history: List<HistoryEntry>)

/** One upstream of the instance list. */
@Serializable
data class ShownUpstream(
    val id: String,
    val kind: String,
    val name: String,
    val address: String,
    val region: String,
    val dataCentre: String,
    val rack: String,
    val state: String,
    val checksFencing: Boolean,
)

/** Answer of `GET /admin/v1/upstreams`. */
@Serializable
data class UpstreamsAnswer(val upstreams: List<ShownUpstream>)

/** One entry instance; [appliedOffset] is null while it isn't heard. */
@Serializable
data class ShownInstance(val id: String, val region: String, val dataCentre: String, val state: String, val appliedOffset: Long?)

/** Answer of `GET /admin/v1/instances`. */
@Serializable
data class InstancesAnswer(val appliedOffset: Long, val instances: List<ShownInstance>)

/** An exception with what it replaces. */
@Serializable
data class AuditedException(val exception: ShownEntry, val replacedDefault: JsonElement)

/** Answer of `GET /admin/v1/audit`: how the fleet is run. */
@Serializable
data class AuditAnswer(
    val appliedOffset: Long,
    val freshness: String,
    val defaults: List<ShownEntry>,
    val exceptions: List<AuditedException>,
    val notAtNewest: List<ShownInstance>,
)
