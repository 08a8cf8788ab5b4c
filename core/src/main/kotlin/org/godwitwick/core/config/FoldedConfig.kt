package org.godwitwick.core.config

/** The configuration given by a [ConfigState]. */
class FoldedConfig(state: ConfigState) : ConfigView {
    override val appliedOffset: Long = state.appliedOffset

    private val values: Map<EntryKey, String> = state.entries.values
        .mapNotNull { entry -> entry.value?.let { entry.key to it.toString() } }
        .toMap()

    override fun text(field: ConfigField, subject: ConfigSubject): String =
        subject.scopes().firstNotNullOfOrNull { values[EntryKey(field.fieldName, it)] } ?: field.defaultValue
}
