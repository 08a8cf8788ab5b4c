package org.godwitwick.core.config

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** Version of an entry that was never published. */
const val NO_VERSION = -1L

/** Maximum size of a publication as JSON text, in bytes. */
const val MAX_PUBLICATION_BYTES = 64 * 1024

/**
 * A set of configuration changes by an operator, applied atomically.
 *
 * @property id identifier chosen by the author. Further records with the same id are ignored.
 * @property atMs time by the author's clock, in milliseconds since the epoch. Informational only:
 *   publications are ordered by their offset in the log.
 * @property reason reason for the publication; required if a change is for a scope other than `fleet`.
 */
@Serializable
data class Publication(
    val id: String,
    val author: String,
    val atMs: Long,
    val reason: String = "",
    val changes: List<ConfigChange>,
)

/**
 * A change of a configuration entry.
 *
 * @property value the new value, or null to remove the entry.
 * @property expectedVersion version of the entry that the change is based on, or [NO_VERSION] if the entry was never published.
 */
@Serializable
data class ConfigChange(
    val name: String,
    val scope: ConfigScope = ConfigScope.FLEET,
    val value: JsonElement? = null,
    val expectedVersion: Long = NO_VERSION,
)
