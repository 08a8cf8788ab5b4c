package org.godwitwick.core.error

/**
 * The closed list of errors and the table from each kind to its answer.
 *
 * @property code stable name in the answer's `kind` field.
 * @property httpStatus status of the answer.
 * @property defaultRan what the caller may conclude when the failure states nothing more precise.
 * @property defaultRetryAfterMs advised wait before a repeat, or null when a repeat can't help.
 */
enum class ErrorKind(val code: String, val httpStatus: Int, val defaultRan: Ran, val defaultRetryAfterMs: Long?) {
    BAD_REQUEST("bad_request", 400, Ran.NO, null),
    UNAUTHENTICATED("unauthenticated", 401, Ran.NO, null),
    FORBIDDEN("forbidden", 403, Ran.NO, null),
    NOT_FOUND("not_found", 404, Ran.NO, null),
    TOO_LARGE("too_large", 413, Ran.NO, null),
    KEY_REQUIRED("key_required", 400, Ran.NO, null),
    KEY_EXPIRED("key_expired", 409, Ran.NO, null),
    KEY_REUSED("key_reused", 422, Ran.NO, null),
    OUTCOME_PENDING("outcome_pending", 409, Ran.UNKNOWN, 1_000),
    OUTCOME_UNKNOWN("outcome_unknown", 502, Ran.UNKNOWN, null),
    OVERLOADED("overloaded", 503, Ran.NO, 1_000),
    QUOTA_EXCEEDED("quota_exceeded", 429, Ran.NO, 1_000),
    NO_UPSTREAM("no_upstream", 503, Ran.NO, 1_000),
    DEADLINE_EXCEEDED("deadline_exceeded", 504, Ran.UNKNOWN, null),
    UPSTREAM_FAILED("upstream_failed", 502, Ran.UNKNOWN, null),
    REQUEST_QUARANTINED("request_quarantined", 422, Ran.NO, null),
    CONFIG_UNCONFIRMED("config_unconfirmed", 503, Ran.NO, 1_000),
    LOG_UNAVAILABLE("log_unavailable", 503, Ran.NO, 1_000),
    DRAINING("draining", 503, Ran.NO, 100),
    CONFLICT("conflict", 409, Ran.NO, null),
    CANCELLED("cancelled", 499, Ran.UNKNOWN, null),
    INTERNAL("internal", 500, Ran.UNKNOWN, null),
    ;

    companion object {
        /** Finds the kind with the given answer [code], or null. */
        fun ofCode(code: String): ErrorKind? = entries.firstOrNull { it.code == code }
    }
}
