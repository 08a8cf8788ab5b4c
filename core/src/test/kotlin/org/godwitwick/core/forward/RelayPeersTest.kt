package org.godwitwick.core.forward

import org.godwitwick.core.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random

class RelayPeersTest {
    private val peers = RelayPeers(Random(1))
    private val others = (1..8).map { InstanceId("entry-$it") }.toSet()

    @Test
    fun `requests are spread over all other instances`() {
        val chosen = (1..400).groupingBy { peers.choose(others, emptySet(), nowMs = 0) }.eachCount()
        expectThat(chosen.keys).isEqualTo(others)
        expectThat(chosen.values.all { it in 25..75 }).isTrue()
    }

    // Guards against requests that go round among the instances that are cut off.
    @Test
    fun `an instance that has refused a request is avoided for a second`() {
        (others - InstanceId("entry-8")).forEach { peers.onRefused(it, nowMs = 100) }
        expectThat(
            (1..20).map {
                peers.choose(others, emptySet(), nowMs = 1_099)
            }.toSet(),
        ).isEqualTo(setOf(InstanceId("entry-8")))
        expectThat((1..200).map { peers.choose(others, emptySet(), nowMs = 1_100) }.toSet()).isEqualTo(others)
    }

    @Test
    fun `no instance gets the same request twice`() {
        expectThat(peers.choose(others, others, nowMs = 0)).isNull()
        expectThat(peers.choose(others, others - InstanceId("entry-3"), nowMs = 0)).isEqualTo(InstanceId("entry-3"))
    }
}
