package org.godwitwick.lab.forward

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
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
        val before = play("large", PlacementVariant.PREVIOUS)
        expectThat(worstBurst("large", play("large"))).isGreaterThan(worstBurst("large", before))
        expectThat(worstBurst("large", before)).isLessThan(0.7)
    }

    @Test
    fun `the same seed gives the same figures`() {
        expectThat(creditOf(play("pindan"))).isGreaterThan(creditOf(play("pindan")) - 1e-12)
    }
}
