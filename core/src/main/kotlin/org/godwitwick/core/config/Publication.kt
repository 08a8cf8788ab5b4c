package org.godwitwick.core.config

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** Version of an entry that no record has changed yet. */
const val NO_VERSION = -1L

/** Largest publication, in bytes of its JSON text. */
const val MAX_PUBLICATION_BYTES = 64 * 1024

/**
 * What an operator publishes: changes that take effect together or not at all.
 *
 * @property id chosen by the author; a second record with the same id is ignored.
 * @property atMs the author's clock, for reading only; the log decides the order.
 * @property reason why; mandatory when a change is an exception.
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
 * One change of one entry.
 *
 * @property value the new value, or null to remove the entry.
 * @property expectedVersion version that the author saw, [NO_VERSION] for an entry that was never published.
 */
@Serializable
data class ConfigChange(
    val name: String,
    val scope: ConfigScope = ConfigScope.FLEET,
    val value: JsonElement? = null,
    val expectedVersion: Long = NO_VERSION,
)
