package org.godwitwick.core.config

import org.godwitwick.core.model.PromptClass

/**
 * Returns all faults of [publication]; it may be appended only if there are none. [ConfigFold] applies the same check, so a
 * record that was appended without it changes nothing.
 */
fun faultsOf(publication: Publication): List<ConfigFault> = buildList {
    if (!ID_PATTERN.matches(publication.id)) add(fault("id", publication.id, "1 to 64 of the characters A-Z a-z 0-9 . _ -"))
    if (publication.author.isBlank() || publication.author.length > MAX_AUTHOR_CHARS) {
        add(fault("author", publication.author, "1 to $MAX_AUTHOR_CHARS characters"))
    }
    if (publication.atMs <= 0) add(fault("atMs", publication.atMs, "milliseconds since 1970"))
    if (publication.reason.length > MAX_REASON_CHARS) {
        add(fault("reason", "${publication.reason.length} characters", "at most $MAX_REASON_CHARS characters"))
    }
    if (publication.reason.isBlank() && publication.changes.any { it.scope != ConfigScope.FLEET }) {
        add(fault("reason", "\"\"", "a reason, required for a change of a scope other than fleet"))
    }
    if (publication.changes.size !in 1..MAX_CHANGES) {
        add(fault("changes", "${publication.changes.size} changes", "1 to $MAX_CHANGES changes"))
    }
    publication.changes.forEachIndexed { i, change -> addAll(faultsOf(change, "changes[$i]")) }
    publication.changes.groupBy { it.name to it.scope }.filterValues { it.size > 1 }.keys.forEach { (name, scope) ->
        add(fault("changes", "$name in $scope twice", "at most one change per entry"))
    }
}

private fun faultsOf(change: ConfigChange, path: String): List<ConfigFault> = buildList {
    if (change.expectedVersion < NO_VERSION) {
        add(fault("$path.expectedVersion", change.expectedVersion, "the version that was read, or $NO_VERSION for none"))
    }
    val scopeFault = scopeNameFault(change.scope, "$path.scope")
    scopeFault?.let { add(it) }
    val field = ConfigField.ofName(change.name)
    if (field == null) {
        add(fault("$path.name", change.name, "one of ${ConfigField.entries.joinToString { it.fieldName }}"))
        return@buildList
    }
    val kind = change.scope.kind
    if (scopeFault == null && kind != ScopeKind.FLEET && kind !in field.scopes) {
        val allowed = listOf(ScopeKind.FLEET.prefix) + field.scopes.map { "${it.prefix}:..." }
        add(fault("$path.scope", change.scope, "one of ${allowed.joinToString()} for ${field.fieldName}"))
    }
    val value = change.value ?: return@buildList
    addAll(field.type.faultsOf(value).map { it.copy(field = "$path.value${it.field}", expected = it.expected.withUnit(field)) })
}

private fun scopeNameFault(scope: ConfigScope, path: String): ConfigFault? {
    val kind = scope.kind ?: return fault(path, scope, "fleet, or one of ${ScopeKind.entries.map { it.prefix }} with :name")
    if (kind == ScopeKind.FLEET) return null
    val name = scope.value.substringAfter(':')
    if (kind == ScopeKind.CLASS && PromptClass.entries.none { it.label == name }) {
        return fault(path, scope, "one of the classes ${PromptClass.entries.joinToString { it.label }}")
    }
    return if (SCOPE_NAME_PATTERN.matches(name)) null else fault(path, scope, "a name of 1 to 128 characters without spaces")
}

private fun String.withUnit(field: ConfigField) = if (field.type is FieldType.Routes) this else "$this (${field.unit})"

private fun fault(field: String, value: Any, expected: String) =
    ConfigFault(field, value.toString().take(MAX_SHOWN_CHARS).ifEmpty { "\"\"" }, expected)

private val ID_PATTERN = Regex("[A-Za-z0-9._-]{1,64}")
private val SCOPE_NAME_PATTERN = Regex("[^\\s\\p{Cntrl}]{1,128}")
private const val MAX_AUTHOR_CHARS = 128
private const val MAX_REASON_CHARS = 2_000
private const val MAX_CHANGES = 200
private const val MAX_SHOWN_CHARS = 120
