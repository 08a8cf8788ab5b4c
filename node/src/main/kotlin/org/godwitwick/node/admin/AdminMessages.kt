package org.godwitwick.node.admin

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import org.godwitwick.core.config.ConfigFault
import org.godwitwick.core.config.EntryConflict
import org.godwitwick.core.config.HistoryEntry
import org.godwitwick.node.http.ErrorBody

/**
 * Answer to an accepted publication.
 *
 * @property inForce ids of the instances that are known to have applied it.
 * @property notConfirmed ids of the instances that were not known to have applied it when the answer was sent.
 */
@Serializable
data class PublishAnswer(val id: String, val offset: Long, val inForce: List<String>, val notConfirmed: List<String>)

/**
 * Answer to a publication that did not take effect, or whose outcome is not known.
 *
 * @property conflicts entries that another publication changed first, or empty if there is no conflict.
 * @property faults all faults of an invalid publication, or empty if it is valid.
 */
@Serializable
data class PublishFailure(
    val error: ErrorBody,
    val conflicts: List<EntryConflict> = emptyList(),
    val faults: List<ConfigFault> = emptyList(),
)

/**
 * An entry of the configuration in force.
 *
 * @property version version to send as `expectedVersion` in the next change of this entry.
 * @property author operator who published the value, or null for a built-in default.
 * @property atMs time of the publication by the clock of its author, in milliseconds since the epoch, or null for a default.
 * @property reason reason stated in the publication, or null for a built-in default.
 */
@Serializable
data class EntryView(
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
    val defaults: List<EntryView>,
    val exceptions: List<EntryView>,
)

/** Answer of `GET /admin/v1/history`. The newest outcome comes first. */
@Serializable
data class HistoryAnswer(val appliedOffset: Long, val history: List<HistoryEntry>)

/** An upstream in the instance list. */
@Serializable
data class UpstreamView(
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
data class UpstreamsAnswer(val upstreams: List<UpstreamView>)

/** An entry instance; [appliedOffset] is null while no report from the instance is available. */
@Serializable
data class InstanceView(val id: String, val region: String, val dataCentre: String, val state: String, val appliedOffset: Long?)

/** Answer of `GET /admin/v1/instances`. */
@Serializable
data class InstancesAnswer(val appliedOffset: Long, val instances: List<InstanceView>)

/** An exception and the default that it replaces. */
@Serializable
data class AuditedException(val exception: EntryView, val replacedDefault: JsonElement)

/**
 * Answer of `GET /admin/v1/audit`: the configuration of the fleet and the instances that do not have it yet.
 *
 * @property notAtNewest instances that are not known to have applied [appliedOffset].
 */
@Serializable
data class AuditAnswer(
    val appliedOffset: Long,
    val freshness: String,
    val defaults: List<EntryView>,
    val exceptions: List<AuditedException>,
    val notAtNewest: List<InstanceView>,
)
