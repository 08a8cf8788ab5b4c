package org.godwitwick.lab.forward

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan

/**
 * Guards the credit under the bursts of every standard day: long prompts at almost three times their normal rate, then short
 * prompts, then long prompts again.
 */
class ForwardFleetModelTest {
    private fun play(mixName: String, variant: PlacementVariant = PlacementVariant.CURRENT, seed: Long = 1): List<ModelRequest> {
        val mix = checkNotNull(ForwardMix.byName(mixName))
        return ForwardFleetModel(mix, variant, seed).run()
    }

    private fun creditOf(requests: List<ModelRequest>): Double {
        val possible = requests.sumOf { it.kind.onTimeCredit * it.weight }
        return requests.sumOf { it.earnedCredit } / possible
    }

    private fun worstBurst(mixName: String, requests: List<ModelRequest>): Double =
        checkNotNull(ForwardMix.byName(mixName)).phases.minOf { phase ->
            creditOf(requests.filter { it.arrivedMs / 1e3 in phase.fromS..phase.toS })
        }

    // The bound is the target for every burst of long prompts: 0.6 of its credit. Guards against long prompts that are sent to
    // few engines because streams occupy nearly all engines and queued prefills are counted as done.
    @ParameterizedTest
    @ValueSource(strings = ["large", "large-small", "kasher", "pindan"])
    fun `each burst earns at least six tenths of its credit`(mixName: String) {
        expectThat(worstBurst(mixName, play(mixName))).isGreaterThanOrEqualTo(0.6)
    }

    @Test
    fun `the previous settings earn less in their worst burst than the current ones`() {
        listOf("large", "pindan").forEach { mixName ->
            val before = play(mixName, PlacementVariant.PREVIOUS)
            expectThat(worstBurst(mixName, play(mixName))).isGreaterThan(worstBurst(mixName, before))
        }
    }

    // Load pattern: bursts of long prompts at 1.27 times the usual load, so that engines prefill for seconds. Guards against
    // work that is cancelled for the silence of a working engine and prefilled again elsewhere. The bound is the target: less
    // than one token in a hundred.
    @Test
    fun `almost nothing is prefilled again while no engine fails`() {
        val mix = checkNotNull(ForwardMix.byName("pindan-busy"))
        fun overhead(variant: PlacementVariant) = SEEDS.map { seed ->
            ForwardFleetModel(mix, variant, seed).also { it.run() }.prefillOverhead()
        }.average()
        expectThat(overhead(PlacementVariant.CURRENT)).isLessThan(1.01)
        expectThat(overhead(PlacementVariant.SILENCE_IS_LOSS)).isGreaterThan(1.01)
    }

    // Load pattern: a burst of long prompts after one of short prompts. Guards against a queue at the engines in which all long
    // prompts become late together.
    @ParameterizedTest
    @ValueSource(strings = ["pindan", "pindan-busy", "pindan-grown-small"])
    fun `long prompts that wait at their instance earn more in bursts`(mixName: String) {
        fun credit(variant: PlacementVariant) = SEEDS.map { creditOf(play(mixName, variant, it)) }.average()
        expectThat(credit(PlacementVariant.CURRENT)).isGreaterThan(credit(PlacementVariant.NO_WAIT))
    }

    // Load pattern: long prompts at almost three times their usual rate among few short ones. Guards against long prefills on
    // the engines that short requests share.
    @ParameterizedTest
    @ValueSource(strings = ["pindan", "kasher"])
    fun `short requests earn more if they share fewer engines`(mixName: String) {
        fun shortCredit(variant: PlacementVariant) =
            SEEDS.map { seed -> creditOf(play(mixName, variant, seed).filter { it.kind.name == "short" }) }.average()
        expectThat(shortCredit(PlacementVariant.CURRENT)).isGreaterThan(shortCredit(PlacementVariant.MORE_SHARED))
    }

    private fun onTimeByKind(mixName: String, variant: PlacementVariant): Map<String, Double> =
        SEEDS.flatMap { play(mixName, variant, it) }.groupBy { it.kind.name }
            .mapValues { (_, requests) -> requests.count { it.isOnTime }.toDouble() / requests.size }

    // Load pattern: bursts of digests (rank 2) and of short messages (rank 0) in turn. Guards against a kind that is served less often
    // than a less urgent one, by over 5 in 100, and against gains of one rank that another pays for.
    @Test
    fun `with stated ranks no kind is in time less often than a less urgent one or than without ranks`() {
        val ranked = onTimeByKind("rbq-small", PlacementVariant.CURRENT)
        val unranked = onTimeByKind("rbq-small", PlacementVariant.RANK_STEPS.first { it.ranks.isEmpty() })
        listOf("short", "reviews", "digests").zipWithNext { urgent, other ->
            expectThat(ranked.getValue(urgent)).isGreaterThan(ranked.getValue(other) - 0.05)
        }
        expectThat(ranked.getValue("short")).isGreaterThan(unranked.getValue("short") + 0.05)
        expectThat(ranked.getValue("reviews")).isGreaterThan(unranked.getValue("reviews") + 0.05)
        expectThat(ranked.getValue("digests")).isGreaterThan(unranked.getValue("digests"))
    }

    // Guards against an upgrade during which short messages do worse than before or after it, as half of the instances report no levels.
    @Test
    fun `short messages gain from ranks as soon as half of the instances know them`() {
        fun short(variant: PlacementVariant) = onTimeByKind("rbq-small", variant).getValue("short")
        val half = PlacementVariant("half", rankedShare = 0.5)
        expectThat(short(half)).isGreaterThan(short(PlacementVariant("none", ranks = emptySet())))
    }

    // Guards against decisions by rank in a deployment whose priorities are all equal.
    @Test
    fun `equal priorities change nothing`() {
        val unranked = PlacementVariant("none", ranks = emptySet())
        expectThat(creditOf(play("darivo-small"))).isEqualTo(creditOf(play("darivo-small", unranked)))
    }

    @Test
    fun `the same seed gives the same figures`() {
        expectThat(creditOf(play("pindan"))).isEqualTo(creditOf(play("pindan")))
    }

    private companion object {
        val SEEDS = 1L..10L
    }
}
