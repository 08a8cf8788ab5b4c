package org.godwitwick.core.group

private const val BASE_DELAY_MS = 20.0
private const val MAX_DELAY_MS = 1_000.0
private const val MAX_DOUBLINGS = 6

/**
 * Returns the delay before attempt number [attempt] (from 1) to reserve a group again, with exponential backoff and jitter.
 *
 * @param random jitter in 0..1, so that of two groups that blocked each other one finds all engines free.
 */
fun groupRetryDelayMs(attempt: Int, random: Double): Long {
    val maxDelayMs = (BASE_DELAY_MS * (1 shl attempt.coerceAtMost(MAX_DOUBLINGS))).coerceAtMost(MAX_DELAY_MS)
    return (maxDelayMs * random).toLong() + 1
}
