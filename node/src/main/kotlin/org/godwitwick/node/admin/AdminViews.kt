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

/**
 * Returns the default of each field, published or built in. A removed default keeps its version, which the next change must state
 * as its expected version.
 */
fun defaultViews(state: ConfigState): List<EntryView> = ConfigField.entries.map { field ->
    val entry = state.entries[EntryKey(field.fieldName, ConfigScope.FLEET)]
    entry?.toView() ?: EntryView(
        name = field.fieldName,
        scope = ConfigScope.FLEET.value,
        unit = field.unit,
        value = Json.parseToJsonElement(field.defaultValue),
        version = entry?.version ?: NO_VERSION,
    )
}

/** Returns all exceptions in force, sorted by field and scope. */
fun exceptionViews(state: ConfigState): List<EntryView> = state.entries.values.filter { it.scope != ConfigScope.FLEET }
    .sortedWith(compareBy({ it.name }, { it.scope.value }))
    .mapNotNull { it.toView() }

/** Returns the audit of [state]. It lists the instances that are not known to have applied the last offset. */
fun auditOf(state: ConfigState, freshness: Freshness, instances: List<InstanceView>): AuditAnswer {
    val defaults = PublishedConfig(state)
    return AuditAnswer(
        appliedOffset = state.appliedOffset,
        freshness = freshness.label(),
        defaults = defaultViews(state),
        exceptions = exceptionViews(state).map { exception ->
            val field = checkNotNull(ConfigField.ofName(exception.name))
            AuditedException(exception, Json.parseToJsonElement(defaults.text(field)))
        },
        notAtNewest = instances.filter { (it.appliedOffset ?: NO_VERSION - 1) < state.appliedOffset },
    )
}

/** Returns the name of this freshness in answers. */
fun Freshness.label(): String = when (this) {
    Freshness.Current -> "current"
    Freshness.LogDown -> "log_down"
    is Freshness.CutOff -> "cut_off"
}

private fun ConfigEntry.toView(): EntryView? {
    val current = value ?: return null
    return EntryView(name, scope.value, ConfigField.ofName(name)?.unit ?: "", current, version, author, atMs, reason)
}
