package org.godwitwick.node

/** Waits until [condition] is true, and fails with [what] after 30 s, which only a fault exceeds. */
internal fun await(what: String, condition: () -> Boolean) {
    val endNs = System.nanoTime() + 30_000_000_000
    while (!condition()) {
        check(System.nanoTime() < endNs) { "not reached within 30 s: $what" }
        Thread.onSpinWait()
        java.util.concurrent.locks.LockSupport.parkNanos(5_000_000)
    }
}
