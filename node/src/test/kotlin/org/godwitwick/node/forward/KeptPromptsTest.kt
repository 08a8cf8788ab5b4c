package org.godwitwick.node.forward

import org.godwitwick.core.forward.CallerWait
import org.godwitwick.core.forward.EngineProfile
import org.godwitwick.core.forward.PauseTargets
import org.godwitwick.core.forward.PlacementRule
import org.godwitwick.core.forward.RequestSize
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.UpstreamList
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.prefix.PromptPrefix
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.random.Random

/** Guards against placements that ignore a held prefix, that queue behind it, or that cost anything where no prompts are kept. */
class KeptPromptsTest {
    private val profile =
        EngineProfile(slots = 8, kvCapacityTokens = 200_000, prefillTokensPerMs = 200.0, attentionMsPerMillionPairs = 0.1)
    private val engines = UpstreamList.of((1..20).map { entryOf("e$it", startedAtMs = 1) })
    private val prefixes = PromptPrefix.chainOf(listOf("manual" to 15_000L))
    private val loads = UpstreamLoads()

    private fun entryOf(id: String, startedAtMs: Long) =
        UpstreamEntry(InstanceId(id), "model", "$id:1", "dc", 8, isLeaving = false, startedAtMs = startedAtMs)

    private fun placerWith(kept: KeptPrompts?) =
        WorkPlacer(PlacementRule(Random(7)), loads, PeerLoads(), { 1 }, keptPrompts = kept)

    private fun WorkPlacer.place(promptTokens: Long, candidates: UpstreamList = engines, nowMs: Long = 0): PlacedWork {
        val wait = CallerWait(sinceMs = nowMs, targetMs = 300, leavesAtMs = nowMs + 10_000)
        val demand =
            ForwardDemand(
                RequestSize(promptTokens, 500),
                wait,
                isStreaming = true,
                PauseTargets(250.0, 250.0),
                prefixes = prefixes,
            )
        return (place(demand, profile, candidates, nowMs) as PlacementDecision.Send).work
    }

    @Test
    fun `a short prompt goes to the idle engine that holds its prefix`() {
        val kept = KeptPrompts(keptMs = 60_000).apply { onComputed(engines[13].processKey, prefixes, nowMs = 0) }
        val placer = placerWith(kept)
        expectThat((1..20).map { placer.place(16_000).placement.upstream.id }.distinct()).isEqualTo(listOf(engines[13].id))
    }

    @Test
    fun `a burst on one prefix is spread over several engines`() {
        val kept = KeptPrompts(keptMs = 60_000).apply { onComputed(engines[13].processKey, prefixes, nowMs = 0) }
        val placer = placerWith(kept)
        val placed = (1..60).map { placer.place(16_000).also { loads.begin(it, 0) }.placement.upstream }
        val perEngine = placed.groupingBy { it.id }.eachCount()
        expectThat(perEngine.size).isGreaterThan(8)
        expectThat(perEngine.getValue(engines[13].id)).isLessThan(20)
    }

    @Test
    fun `a new process under the same id holds nothing`() {
        val kept = KeptPrompts(keptMs = 60_000).apply { onComputed(engines[13].processKey, prefixes, nowMs = 0) }
        val restarted = UpstreamList.of(engines.map { entryOf(it.id.value, startedAtMs = 2) })
        val placer = placerWith(kept)
        expectThat((1..20).map { placer.place(16_000, restarted).placement.upstream.id }.distinct().size).isGreaterThan(1)
    }

    @Test
    fun `two instances that do not know of each other's placements both use the prefixes that they have sent`() {
        val first = KeptPrompts(keptMs = 60_000).apply { onComputed(engines[3].processKey, prefixes, nowMs = 0) }
        val second = KeptPrompts(keptMs = 60_000).apply { onComputed(engines[9].processKey, prefixes, nowMs = 0) }
        expectThat(placerWith(first).place(16_000).placement.upstream.id).isEqualTo(engines[3].id)
        expectThat(placerWith(second).place(16_000).placement.upstream.id).isEqualTo(engines[9].id)
    }

    @Test
    fun `a long prompt is computed alone where its prefix is held, if that is sooner than a split`() {
        val long = PromptPrefix.chainOf(listOf("season" to 99_000L))
        val wait = CallerWait(sinceMs = 0, targetMs = 3_000, leavesAtMs = 10_000)
        val demand =
            ForwardDemand(RequestSize(100_000, 500), wait, isStreaming = true, PauseTargets(250.0, 250.0), prefixes = long)
        val kept = KeptPrompts(keptMs = 60_000).apply { onComputed(engines[13].processKey, long, nowMs = 0) }
        val work = (placerWith(kept).place(demand, profile, engines, 0) as PlacementDecision.Send).work
        expectThat(work.placement.upstream.id to work.placement.helpers.size).isEqualTo(engines[13].id to 0)
        val without = (placerWith(null).place(demand, profile, engines, 0) as PlacementDecision.Send).work
        expectThat(without.placement.helpers.size).isGreaterThan(0)
    }

    @Test
    fun `without kept prompts the same random numbers give the same placements`() {
        val withNothingHeld = placerWith(KeptPrompts(keptMs = 60_000))
        val without = placerWith(null)
        expectThat((1..50).map { withNothingHeld.place(16_000).placement.upstream.id })
            .isEqualTo((1..50).map { without.place(16_000).placement.upstream.id })
    }
}
