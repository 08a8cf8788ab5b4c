package org.godwitwick.core.forward

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class PauseTargetsTest {
    private fun route(service: String, gapTargetMs: Long) =
        route(split = listOf(WeightedService(service, 1.0))).copy(gapTargetMs = gapTargetMs)

    @Test
    fun `the shortest target is that of short prompts and the others are averaged`() {
        val routes = listOf(route("llm", 800), route("llm", 200), route("llm", 500), route("other", 100))
        expectThat(PauseTargets.of(routes, "llm")).isEqualTo(PauseTargets(shortMs = 200.0, longMs = 650.0))
    }

    @Test
    fun `a service with one target allows the same pauses to all streams`() {
        expectThat(PauseTargets.of(listOf(route("llm", 250)), "llm")).isEqualTo(PauseTargets(250.0, 250.0))
    }

    @Test
    fun `a service without streams has no targets`() {
        expectThat(PauseTargets.of(listOf(route("desk", 0)), "desk")).isNull()
        expectThat(PauseTargets.of(emptyList(), "desk")).isNull()
    }
}
