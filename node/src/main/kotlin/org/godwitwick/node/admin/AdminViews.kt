package org.godwitwick.node.admin

import kotlinx.serialization.json.Json
import org.godwitwick.core.config.ConfigEntry
import org.godwitwick.core.config.ConfigField
import org.godwitwick.core.config.ConfigScope
import org.godwitwick.core.config.ConfigState
import org.godwitwick.core.config.EntryKey
import org.godwitwick.core.config.Freshness
import org.godwitwick.core.config.NO_VERSION
import org.godwitwick.core.config.PublishedConfig

/** The default of each field, published or built in. A removed default keeps its version, which the next change must state. */
fun shownDefaults(state: ConfigState): List<ShownEntry> = ConfigField.entries.map { field ->
    val entry = state.entries[EntryKey(field.fieldName, ConfigScope.FLEET)]
    entry?.shown() ?: ShownEntry(
        name = field.fieldName,
        scope = ConfigScope.FLEET.value,
        unit = field.unit,
        value = Json.parseToJsonElement(field.defaultValue),
        version = entry?.version ?: NO_VERSION,
    )
}

/** All exceptions in force, by field and scope. */
fun shownExceptions(state: ConfigState): List<ShownEntry> = state.entries.values.filter { it.scope != ConfigScope.FLEET }
    .sortedWith(compareBy({ it.name }, { it.scope.value }))
    .mapNotNull { it.shown() }

/** The audit of [state]; an instance isn't at the newest version when it is not known to have applied the last offset. */
fun auditOf(state: ConfigState, freshness: Freshness, instances: List<ShownInstance>): AuditAnswer {
    val defaults = PublishedConfig(state)
    return AuditAnswer(
        appliedOffset = state.appliedOffset,
        freshness = freshness.label(),
        defaults = shownDefaults(state),
        exceptions = shownExceptions(state).map { exception ->
            val field = checkNotNull(ConfigField.ofName(exception.name))
            AuditedException(exception, Json.parseToJsonElement(defaults.text(field)))
        },
        notAtNewest = instances.filter { (it.appliedOffset ?: NO_VERSION - 1) < state.appliedOffset },
    )
}

/** Name of this state in answers. */
fun Freshness.label(): String = when (this) {
    Freshness.Current -> "current"
    Freshness.LogDown -> "log_down"
    is Freshness.CutOff -> "cut_off"
}

private fun ConfigEntry.shown(): ShownEntry? {
    val current = value ?: return null
    return ShownEntry(name, scope.value, ConfigField.ofName(name)?.unit ?: "", current, version, author, atMs, reason)
}
