package org.godwitwick.node

/** Waits until [condition] holds; fails with [what] after a bound that only a real fault reaches. */
internal fun await(what: String, condition: () -> Boolean) {
    val endNs = System.nanoTime() + 30_000_000_000
    while (!condition()) {
        check(System.nanoTime() < endNs) { "not reached: $what" }
        Thread.onSpinWait()
        java.util.concurrent.locks.LockSupport.parkNanos(5_000_000)
    }
}
