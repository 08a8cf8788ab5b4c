package org.godwitwick.core.config

/** The configuration in force, as traffic and decisions read it. Implementations are immutable. */
interface ConfigView {
    /** Offset of the last log record that this view includes; -1 when it includes none. */
    val appliedOffset: Long

    /** JSON text of the value of [field] for [subject]: the most specific entry, else the built-in default. */
    fun text(field: ConfigField, subject: ConfigSubject = ConfigSubject()): String

    /** Value of a field of type [FieldType.Whole]. */
    fun whole(field: ConfigField, subject: ConfigSubject = ConfigSubject()): Long = text(field, subject).toLong()

    /** Value of a field of type [FieldType.Fraction]. */
    fun fraction(field: ConfigField, subject: ConfigSubject = ConfigSubject()): Double = text(field, subject).toDouble()
}

/** The built-in defaults, in force until the first publication is known. */
data object BuiltInConfig : ConfigView {
    override val appliedOffset: Long get() = -1

    override fun text(field: ConfigField, subject: ConfigSubject): String = field.defaultValue
}
