package org.godwitwick.core.claim

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure

/**
 * Checks the idempotency key of a call before its claim is appended. The age is checked by the clock of this instance only to
 * avoid useless appends; [ClaimIndex] checks it again by the log time.
 */
fun checkKey(text: String?, limits: ClaimLimits, nowMs: Long): Result<IdempotencyKey, Failure> {
    if (text == null) return Err(Failure(ErrorKind.KEY_REQUIRED, "this route needs an Idempotency-Key header with a UUIDv7"))
    val key = IdempotencyKey.parse(text) ?: return Err(Failure(ErrorKind.BAD_REQUEST, "the Idempotency-Key is not a UUIDv7"))
    return when (limits.ageOf(key, nowMs)) {
        KeyAge.VALID -> Ok(key)
        KeyAge.EXPIRED -> Err(keyExpired)
        KeyAge.FROM_FUTURE -> Err(keyFromFuture)
    }
}

/** Failure for a key that is older than the claim window. */
val keyExpired = Failure(
    ErrorKind.KEY_EXPIRED,
    "the Idempotency-Key has expired; this request was not run, but an earlier one with the same key may have been",
)

/** Failure for a key whose creation time is in the future. */
val keyFromFuture = Failure(ErrorKind.BAD_REQUEST, "the Idempotency-Key was created in the future")
