package org.godwitwick.core.config

/** The configuration in [state], that is, the published values and the built-in defaults of all other fields. */
class PublishedConfig(state: ConfigState) : ConfigView {
    override val appliedOffset: Long = state.appliedOffset

    private val values: Map<EntryKey, String> = state.entries.values
        .mapNotNull { entry -> entry.value?.let { entry.key to it.toString() } }
        .toMap()

    override fun text(field: ConfigField, subject: ConfigSubject): String =
        subject.scopes().firstNotNullOfOrNull { values[EntryKey(field.fieldName, it)] } ?: field.defaultValue
}
