package org.godwitwick.core.group

private const val BASE_DELAY_MS = 20.0
private const val MAX_DELAY_MS = 1_000.0
private const val MAX_DOUBLINGS = 6

/**
 * Wait before attempt number [attempt] (from 1) to reserve a group again. [random] in 0..1 spreads two groups that refused each
 * other, so that one of them finds all engines free.
 */
fun groupRetryDelayMs(attempt: Int, random: Double): Long {
    val ceiling = (BASE_DELAY_MS * (1 shl attempt.coerceAtMost(MAX_DOUBLINGS))).coerceAtMost(MAX_DELAY_MS)
    return (ceiling * random).toLong() + 1
}
