package org.godwitwick.core.claim

/** How far a key's creation time may lie in the future; callers' clocks differ by less. */
const val KEY_FUTURE_MS = 60_000L

/** Largest outcome body that is recorded for replay. */
const val MAX_RECORDED_BODY_BYTES = 16 * 1024

/**
 * Age limits of keys.
 *
 * @property windowMs greatest age of a key at the log time of its claim.
 */
data class ClaimLimits(val windowMs: Long) {
    /** Log time for which a reader keeps a shard: two claims of one key lie no further apart. */
    val keepMs: Long get() = windowMs + KEY_FUTURE_MS

    /** How the age of [key] is judged at [timeMs]. */
    fun ageOf(key: IdempotencyKey, timeMs: Long): KeyAge = when {
        timeMs - key.createdAtMs > windowMs -> KeyAge.EXPIRED
        key.createdAtMs - timeMs > KEY_FUTURE_MS -> KeyAge.FROM_FUTURE
        else -> KeyAge.VALID
    }
}

/** Judgement of a key's creation time. */
enum class KeyAge { VALID, EXPIRED, FROM_FUTURE }
