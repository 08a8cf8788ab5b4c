package org.godwitwick.core.error

/**
 * One failure as it is reported to a caller.
 *
 * @property message one sentence without secrets and without prompt text.
 * @property ran what the caller may conclude about the execution of its call.
 * @property retryAfterMs advised wait before a repeat, in milliseconds, or null.
 */
data class Failure(
    val kind: ErrorKind,
    val message: String,
    val ran: Ran = kind.defaultRan,
    val retryAfterMs: Long? = kind.defaultRetryAfterMs,
)
