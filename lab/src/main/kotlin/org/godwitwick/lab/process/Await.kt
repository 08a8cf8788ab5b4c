package org.godwitwick.lab.process

/** Waits until [condition] holds and fails with [what] when it does not within [timeoutMs]. */
fun await(what: String, timeoutMs: Long = 20_000, condition: () -> Boolean) {
    val endNanos = System.nanoTime() + timeoutMs * NANOS_PER_MS
    while (!condition()) {
        check(System.nanoTime() < endNanos) { "$what: not within $timeoutMs ms" }
        Thread.sleep(POLL_MS)
    }
}

private const val POLL_MS = 10L
private const val NANOS_PER_MS = 1_000_000L
