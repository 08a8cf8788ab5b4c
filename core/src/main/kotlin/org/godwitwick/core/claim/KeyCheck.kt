package org.godwitwick.core.claim

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure

/**
 * Checks the idempotency key of a call before anything is appended. The check by this instance's clock only saves an append; the fold
 * checks the age again by the log's time.
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

/** Answer to a key older than the claim window. */
val keyExpired = Failure(
    ErrorKind.KEY_EXPIRED,
    "the Idempotency-Key is too old; this request was not run, an earlier one with the key may have been",
)

/** Answer to a key that was created in the future. */
val keyFromFuture = Failure(ErrorKind.BAD_REQUEST, "the Idempotency-Key was created in the future")
