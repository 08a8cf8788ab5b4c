package org.godwitwick.node.control

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isGreaterThanOrEqualTo
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue

class ControlThreadDelayTest {
    // Guards against a busy control thread that is not visible in the metrics.
    @Test
    @Timeout(20)
    fun `the reported delay includes the time spent waiting behind other tasks`() {
        val delays = LinkedBlockingQueue<Long>()
        ControlThread(delays::put).use { control ->
            val blocked = CountDownLatch(1)
            control.post { blocked.await() }
            val waiting = control.ask { }
            Thread.sleep(30)
            blocked.countDown()
            waiting.get()
            expectThat(delays.toList().last()).isGreaterThanOrEqualTo(30_000_000)
        }
    }
}
