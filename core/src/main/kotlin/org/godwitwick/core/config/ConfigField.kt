package org.godwitwick.core.config

/** Type and range of a configuration value. */
sealed interface FieldType {
    /** A whole number. */
    data class Integer(val min: Long, val max: Long) : FieldType

    /** A fraction or factor. */
    data class Fraction(val min: Double, val max: Double) : FieldType

    /** A JSON list of [ServiceRoute]. */
    data object Routes : FieldType
}

/**
 * Every field that operators can publish.
 *
 * @property fieldName name of the field in publications.
 * @property unit unit of the value, as shown to operators.
 * @property defaultValue default value, as JSON text, that applies until an operator publishes another.
 * @property scopes scopes in which the field may be published, in addition to `fleet`.
 */
enum class ConfigField(
    val fieldName: String,
    val unit: String,
    val type: FieldType,
    val defaultValue: String,
    val scopes: Set<ScopeKind>,
) {
    SHORT_MAX_TOKENS("class.shortMaxTokens", "tokens", FieldType.Integer(256, 1_000_000), "4000", setOf(ScopeKind.MODEL)),
    MEDIUM_MAX_TOKENS("class.mediumMaxTokens", "tokens", FieldType.Integer(256, 1_000_000), "32000", setOf(ScopeKind.MODEL)),
    LONG_MAX_TOKENS("class.longMaxTokens", "tokens", FieldType.Integer(256, 1_000_000), "100000", setOf(ScopeKind.MODEL)),
    MAX_PROMPT_TOKENS(
        "prompt.maxTokens",
        "tokens",
        FieldType.Integer(256, 1_100_000),
        "1048576",
        setOf(ScopeKind.ORGANISATION, ScopeKind.MODEL),
    ),
    TIMEOUT_MS(
        "request.timeoutMs",
        "milliseconds",
        FieldType.Integer(100, 3_600_000),
        "60000",
        setOf(ScopeKind.ORGANISATION, ScopeKind.MODEL, ScopeKind.CLASS, ScopeKind.SERVICE),
    ),
    PRIORITY(
        "request.priority",
        "levels added to the class's own: short 0, medium 1, long 2, huge 3; 0 is first",
        FieldType.Integer(0, 9),
        "0",
        setOf(ScopeKind.ORGANISATION, ScopeKind.CLASS),
    ),
    LONG_SHARE(
        "admission.longShare",
        "fraction of replicas",
        FieldType.Fraction(0.01, 1.0),
        "0.4",
        setOf(ScopeKind.MODEL, ScopeKind.DATA_CENTRE),
    ),
    QUEUE_MAX("admission.queueMax", "requests", FieldType.Integer(1, 100_000), "512", setOf(ScopeKind.CLASS, ScopeKind.MODEL)),
    ORGANISATION_WORK(
        "limit.workTokensPerSecond",
        "work tokens per second over the fleet",
        FieldType.Integer(1, 1_000_000_000),
        "200000",
        setOf(ScopeKind.ORGANISATION),
    ),
    ORGANISATION_WEIGHT("fairness.weight", "factor", FieldType.Fraction(0.01, 100.0), "1.0", setOf(ScopeKind.ORGANISATION)),
    RETRY_FRACTION(
        "retry.budgetFraction",
        "fraction of requests",
        FieldType.Fraction(0.0, 1.0),
        "0.1",
        setOf(ScopeKind.MODEL, ScopeKind.SERVICE),
    ),
    CLAIM_WINDOW_MS("claim.windowMs", "milliseconds", FieldType.Integer(60_000, 86_400_000), "900000", emptySet()),
    SERVICE_ROUTES("service.routes", "list of routes", FieldType.Routes, "[]", setOf(ScopeKind.SERVICE)),
    ;

    companion object {
        /** Returns the field with the given [name], or null if there is none. */
        fun ofName(name: String): ConfigField? = entries.firstOrNull { it.fieldName == name }
    }
}
