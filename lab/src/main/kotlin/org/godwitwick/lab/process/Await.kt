package org.godwitwick.lab.process

/**
 * Polls [condition] until it is true.
 *
 * @param what description of the condition for the error message.
 * @throws IllegalStateException if the condition is not true within [timeoutMs] milliseconds.
 */
fun await(what: String, timeoutMs: Long = 20_000, condition: () -> Boolean) {
    val endNanos = System.nanoTime() + timeoutMs * NANOS_PER_MS
    while (!condition()) {
        check(System.nanoTime() < endNanos) { "timed out after $timeoutMs ms waiting for: $what" }
        Thread.sleep(POLL_MS)
    }
}

private const val POLL_MS = 10L
private const val NANOS_PER_MS = 1_000_000L
