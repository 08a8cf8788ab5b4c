package org.godwitwick.core.error

/**
 * Every error that callers can receive, with the properties of its response.
 *
 * @property code stable name in the `kind` field of the response.
 * @property httpStatus HTTP status of the response.
 * @property defaultRan whether the call was executed, unless the [Failure] states something more precise.
 * @property defaultRetryAfterMs recommended delay before a retry, in milliseconds, or null if a retry cannot succeed.
 */
enum class ErrorKind(val code: String, val httpStatus: Int, val defaultRan: Executed, val defaultRetryAfterMs: Long?) {
    BAD_REQUEST("bad_request", 400, Executed.NO, null),
    UNAUTHENTICATED("unauthenticated", 401, Executed.NO, null),
    FORBIDDEN("forbidden", 403, Executed.NO, null),
    NOT_FOUND("not_found", 404, Executed.NO, null),
    TOO_LARGE("too_large", 413, Executed.NO, null),
    KEY_REQUIRED("key_required", 400, Executed.NO, null),
    KEY_EXPIRED("key_expired", 409, Executed.NO, null),
    KEY_REUSED("key_reused", 422, Executed.NO, null),
    OUTCOME_PENDING("outcome_pending", 409, Executed.UNKNOWN, 1_000),
    OUTCOME_UNKNOWN("outcome_unknown", 502, Executed.UNKNOWN, null),
    OVERLOADED("overloaded", 503, Executed.NO, 1_000),
    QUOTA_EXCEEDED("quota_exceeded", 429, Executed.NO, 1_000),
    NO_UPSTREAM("no_upstream", 503, Executed.NO, 1_000),
    DEADLINE_EXCEEDED("deadline_exceeded", 504, Executed.UNKNOWN, null),
    UPSTREAM_FAILED("upstream_failed", 502, Executed.UNKNOWN, null),
    REQUEST_QUARANTINED("request_quarantined", 422, Executed.NO, null),
    CONFIG_UNCONFIRMED("config_unconfirmed", 503, Executed.NO, 1_000),
    LOG_UNAVAILABLE("log_unavailable", 503, Executed.NO, 1_000),
    DRAINING("draining", 503, Executed.NO, 100),
    CONFLICT("conflict", 409, Executed.NO, null),
    CANCELLED("cancelled", 499, Executed.UNKNOWN, null),
    INTERNAL("internal", 500, Executed.UNKNOWN, null),
    ;

    companion object {
        /** Returns the kind with the given [code], or null if there is none. */
        fun ofCode(code: String): ErrorKind? = entries.firstOrNull { it.code == code }
    }
}
