package org.godwitwick.core.config

import kotlinx.serialization.Serializable

/** What a configuration entry applies to. An entry for `fleet` is a default, an entry for any other scope an exception. */
@JvmInline
@Serializable
value class ConfigScope(val value: String) {
    /** Kind of the scope, or null if [value] is malformed. */
    val kind: ScopeKind? get() = ScopeKind.entries.firstOrNull { it.matches(value) }

    override fun toString(): String = value

    companion object {
        /** Scope of the fleet-wide defaults. */
        val FLEET = ConfigScope("fleet")

        /** Returns the scope of [kind] for [name]. */
        fun of(kind: ScopeKind, name: String): ConfigScope = ConfigScope("${kind.prefix}:$name")
    }
}

/** Kinds of scopes, from the most to the least specific. The most specific scope with an entry takes precedence. */
enum class ScopeKind(val prefix: String) {
    ORGANISATION("organisation"),
    MODEL("model"),
    SERVICE("service"),
    CLASS("class"),
    DATA_CENTRE("dataCentre"),
    FLEET("fleet"),
    ;

    /** Whether [scope] is a well-formed scope of this kind. */
    fun matches(scope: String): Boolean = when (this) {
        FLEET -> scope == prefix
        else -> scope.startsWith("$prefix:") && scope.length > prefix.length + 1
    }
}

/** What a configuration value is looked up for. A property is null if it does not apply to the lookup. */
data class ConfigSubject(
    val organisation: String? = null,
    val model: String? = null,
    val service: String? = null,
    val promptClass: String? = null,
    val dataCentre: String? = null,
) {
    /** Returns the scopes that apply to this subject, most specific first. */
    fun scopes(): List<ConfigScope> = listOfNotNull(
        organisation?.let { ConfigScope.of(ScopeKind.ORGANISATION, it) },
        model?.let { ConfigScope.of(ScopeKind.MODEL, it) },
        service?.let { ConfigScope.of(ScopeKind.SERVICE, it) },
        promptClass?.let { ConfigScope.of(ScopeKind.CLASS, it) },
        dataCentre?.let { ConfigScope.of(ScopeKind.DATA_CENTRE, it) },
        ConfigScope.FLEET,
    )
}
