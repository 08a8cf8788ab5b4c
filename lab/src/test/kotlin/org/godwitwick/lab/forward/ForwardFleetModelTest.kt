package org.godwitwick.lab.forward

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan

/** Replays the load pattern of every standard day with bursts: long prompts at almost three times their rate, short ones, long ones. */
class ForwardFleetModelTest {
    private fun play(mixName: String, variant: PlacementVariant = PlacementVariant.CURRENT, seed: Long = 1): List<ModelRequest> {
        val mix = checkNotNull(ForwardMix.named(mixName))
        return ForwardFleetModel(mix, variant, seed).run()
    }

    private fun creditOf(requests: List<ModelRequest>): Double {
        val owed = requests.sumOf { it.kind.worth * it.weight }
        return requests.sumOf { it.earned } / owed
    }

    private fun worstBurst(mixName: String, requests: List<ModelRequest>): Double =
        checkNotNull(ForwardMix.named(mixName)).phases.minOf { phase ->
            creditOf(requests.filter { it.arrivedMs / 1e3 in phase.fromS..phase.toS })
        }

    // The bound is the aim for every burst of long prompts: 0.6 of its credit. Guards against long prompts that are sent to few engines,
    // because streams spread over nearly all of them and reads that wait seem to have ended.
    @ParameterizedTest
    @ValueSource(strings = ["large", "large-small", "kasher", "pindan"])
    fun `each burst keeps six tenths of its credit`(mixName: String) {
        expectThat(worstBurst(mixName, play(mixName))).isGreaterThanOrEqualTo(0.6)
    }

    @Test
    fun `the rules of before lose a burst of long prompts that follows one of short prompts`() {
        val before = play("large", PlacementVariant.BEFORE)
        expectThat(worstBurst("large", play("large"))).isGreaterThan(worstBurst("large", before))
        expectThat(worstBurst("large", before)).isLessThan(0.7)
    }

    @Test
    fun `the same seed gives the same figures`() {
        expectThat(creditOf(play("pindan"))).isGreaterThan(creditOf(play("pindan")) - 1e-12)
    }
}
