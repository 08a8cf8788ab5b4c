package org.godwitwick.lab.process

import java.util.UUID
import kotlin.random.Random

/** Response to a call that is read as a whole; [status] is the HTTP status, or 0 if there was no response. */
data class CallResult(val status: Int, val body: String)

/** Creates a random UUIDv7 (RFC 9562) for the header `Idempotency-Key`, with [nowMs] as its time in milliseconds since 1970. */
fun newIdempotencyKey(nowMs: Long = System.currentTimeMillis()): String {
    val high = (nowMs shl TIME_SHIFT) or VERSION_7 or Random.nextLong(RANDOM_A_BOUND)
    val low = VARIANT or (Random.nextLong() and RANDOM_B_MASK)
    return UUID(high, low).toString()
}

private const val TIME_SHIFT = 16
private const val VERSION_7 = 0x7000L
private const val RANDOM_A_BOUND = 0x1000L
private const val VARIANT = Long.MIN_VALUE
private const val RANDOM_B_MASK = 0x3fffffffffffffffL
