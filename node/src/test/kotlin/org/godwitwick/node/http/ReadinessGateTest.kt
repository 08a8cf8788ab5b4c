package org.godwitwick.node.http

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

class ReadinessGateTest {
    // Guards against a readiness probe that fails because the only reason is removed while it is read.
    @Test
    fun `reasons can be read while they are set and removed`() {
        val gate = ReadinessGate()
        val isDone = AtomicBoolean()
        val writer = thread {
            while (!isDone.get()) {
                gate.block("starting", "not settled yet")
                gate.open("starting")
            }
        }
        val failures = (1..READS).mapNotNull { runCatching { gate.reasons }.exceptionOrNull() }
        isDone.set(true)
        writer.join()
        expectThat(failures.size).isEqualTo(0)
    }

    private companion object {
        const val READS = 300_000
    }
}
