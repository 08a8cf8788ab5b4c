package org.godwitwick.node.forward

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class RunWatchTest {
    // Guards against requests of cut-off instances that take all the places of an instance, or that are counted for ever.
    @Test
    fun `relayed requests are counted by themselves until they end`() {
        RunWatch { 0 }.use { watch ->
            val guards = List(4) { RunGuard(deadlineMs = Long.MAX_VALUE) }
            guards.forEachIndexed { index, guard -> watch.add(guard, isRelayed = index < 3) }
            expectThat(watch.count to watch.relayedCount).isEqualTo(4 to 3)
            guards.take(2).forEach(watch::remove)
            expectThat(watch.count to watch.relayedCount).isEqualTo(2 to 1)
        }
    }
}
