package org.godwitwick.node.control

import org.godwitwick.node.await
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

class OnDemandTimerTest {
    private val work = ConcurrentLinkedQueue<Int>()
    private val runs = AtomicInteger()
    private val timer = OnDemandTimer("test-timer", 1, work::isNotEmpty) {
        runs.incrementAndGet()
        work.poll()
    }

    @AfterEach
    fun close() = timer.close()

    @Test
    fun `the timer runs its task while it is needed and then stops`() {
        repeat(5) { work.add(it) }
        timer.wake()
        await("all work done") { work.isEmpty() && runs.get() >= 5 }
        expectThat(runs.get()).isEqualTo(5)
    }

    // Guards against work that is added while the last run ends and is never processed.
    @Test
    fun `work added at any time is processed`() {
        repeat(2_000) {
            work.add(it)
            timer.wake()
            if (it % 3 == 0) await("work done") { work.isEmpty() }
        }
        await("all work done") { work.isEmpty() }
    }

    @Test
    fun `a failed task is run again while it is needed`() {
        val failures = AtomicInteger()
        OnDemandTimer("failing-timer", 1, { failures.get() < 3 }) {
            failures.incrementAndGet()
            throw IllegalStateException("fails")
        }.use {
            it.wake()
            await("three runs") { failures.get() == 3 }
        }
    }
}
