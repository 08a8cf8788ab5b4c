package org.godwitwick.core.claim

/** How far the creation time of a key may be in the future, in milliseconds. The clocks of callers must differ by less. */
const val MAX_KEY_CLOCK_SKEW_MS = 60_000L

/** Largest response body that is recorded for replay, in bytes. */
const val MAX_RECORDED_BODY_BYTES = 16 * 1024

/**
 * Age limits of keys.
 *
 * @property windowMs maximum age of a key at the log time of its claim.
 */
data class ClaimLimits(val windowMs: Long) {
    /** Log time for which a reader keeps the keys of a shard, because two valid claims of a key are at most this far apart. */
    val retentionMs: Long get() = windowMs + MAX_KEY_CLOCK_SKEW_MS

    /** Checks the creation time of [key] at [timeMs]. */
    fun ageOf(key: IdempotencyKey, timeMs: Long): KeyAge = when {
        timeMs - key.createdAtMs > windowMs -> KeyAge.EXPIRED
        key.createdAtMs - timeMs > MAX_KEY_CLOCK_SKEW_MS -> KeyAge.FROM_FUTURE
        else -> KeyAge.VALID
    }
}

/** Result of the check of a key's creation time. */
enum class KeyAge { VALID, EXPIRED, FROM_FUTURE }
