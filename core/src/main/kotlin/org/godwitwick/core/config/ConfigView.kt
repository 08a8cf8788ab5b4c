package org.godwitwick.core.config

/** Read-only view of the configuration in force. Implementations are immutable. */
interface ConfigView {
    /** Offset of the last log record that this view includes, or -1 if it includes none. */
    val appliedOffset: Long

    /**
     * Returns the value of [field] for [subject] as JSON text: the most specific entry, or the built-in default if there is none.
     */
    fun text(field: ConfigField, subject: ConfigSubject = ConfigSubject()): String

    /** Returns the value of a field of type [FieldType.Integer]. */
    fun integer(field: ConfigField, subject: ConfigSubject = ConfigSubject()): Long = text(field, subject).toLong()

    /** Returns the value of a field of type [FieldType.Fraction]. */
    fun fraction(field: ConfigField, subject: ConfigSubject = ConfigSubject()): Double = text(field, subject).toDouble()
}

/** The built-in defaults, in force until the configuration has been read from the log or a peer. */
data object BuiltInConfig : ConfigView {
    override val appliedOffset: Long get() = -1

    override fun text(field: ConfigField, subject: ConfigSubject): String = field.defaultValue
}
