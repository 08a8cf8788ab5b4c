package org.godwitwick.core.config

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** Identity of a configuration entry. */
data class EntryKey(val name: String, val scope: ConfigScope)

/**
 * A configuration entry with its last change.
 *
 * @property value current value, or null if the entry was removed.
 * @property version offset of the record that last changed the entry.
 */
@Serializable
data class ConfigEntry(
    val name: String,
    val scope: ConfigScope,
    val value: JsonElement?,
    val version: Long,
    val publicationId: String,
    val author: String,
    val atMs: Long,
    val reason: String,
) {
    /** Identity of this entry. */
    val key: EntryKey get() = EntryKey(name, scope)
}
