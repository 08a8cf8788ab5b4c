package org.godwitwick.lab.upstream

import org.godwitwick.core.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

/** Guards against work for engines that are leaving or dead while the instance list still shows them as live (G6). */
class ReplicaWatcherTest {
    @Test
    fun `a leaving engine gets no new work after the next poll although the list shows it as live`(): Unit =
        EngineFleet(3).use { fleet ->
            val path = fleet.path()
            fleet.engines[1].setLeaving(true)
            path.watcher.poll()
            val before = fleet.engines[1].dispatches
            repeat(9) { path.generate.start(request("note $it", maxTokens = 2)).orFail().readAll() }
            expectThat(fleet.engines[1].dispatches).isEqualTo(before)
            expectThat(fleet.engines.sumOf { it.dispatches }).isEqualTo(9)
        }

    @Test
    fun `a dead engine is left out after two failed polls and taken back when it answers`(): Unit = EngineFleet(2).use { fleet ->
        val path = fleet.path()
        fleet.engines[0].die()
        repeat(2) { path.watcher.poll() }
        expectThat(path.watcher.unusable()).isEqualTo(setOf(InstanceId("engine-0")))
        fleet.engines[0].restart()
        path.watcher.poll()
        expectThat(path.watcher.unusable().isEmpty()).isTrue()
    }
}
