package org.godwitwick.core.error

/**
 * A failure as reported to a caller.
 *
 * @property message one sentence for the caller; it must not contain secrets or prompt text.
 * @property ran whether the call was executed, as far as is known.
 * @property retryAfterMs recommended delay before a retry, in milliseconds, or null if a retry cannot succeed.
 */
data class Failure(
    val kind: ErrorKind,
    val message: String,
    val ran: Executed = kind.defaultRan,
    val retryAfterMs: Long? = kind.defaultRetryAfterMs,
)
