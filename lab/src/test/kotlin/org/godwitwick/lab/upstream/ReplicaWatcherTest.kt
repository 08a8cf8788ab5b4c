package org.godwitwick.lab.upstream

import org.godwitwick.core.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

/** Guards against requests to engines that are leaving or dead while the instance list still shows them as live (G6). */
class ReplicaWatcherTest {
    @Test
    fun `a leaving engine gets no new request after the next poll although the list shows it as live`(): Unit =
        EngineFleet(3).use { fleet ->
            val gateway = fleet.gateway()
            fleet.engines[1].setLeaving(true)
            gateway.watcher.poll()
            val before = fleet.engines[1].dispatches
            repeat(9) { gateway.generate.start(request("note $it", maxTokens = 2)).orThrow().readAll() }
            expectThat(fleet.engines[1].dispatches).isEqualTo(before)
            expectThat(fleet.engines.sumOf { it.dispatches }).isEqualTo(9)
        }

    @Test
    fun `a dead engine is excluded after two failed polls until it answers again`(): Unit = EngineFleet(2).use { fleet ->
        val gateway = fleet.gateway()
        fleet.engines[0].die()
        repeat(2) { gateway.watcher.poll() }
        expectThat(gateway.watcher.unusable()).isEqualTo(setOf(InstanceId("engine-0")))
        fleet.engines[0].restart()
        gateway.watcher.poll()
        expectThat(gateway.watcher.unusable().isEmpty()).isTrue()
    }
}
