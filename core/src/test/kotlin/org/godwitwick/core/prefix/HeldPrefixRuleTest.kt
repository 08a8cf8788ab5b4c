package org.godwitwick.core.prefix

import org.godwitwick.core.forward.EngineProfile
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Guards against a held prefix that draws requests to an engine where they wait longer than the prefix saves. */
class HeldPrefixRuleTest {
    private val profile =
        EngineProfile(slots = 8, kvCapacityTokens = 200_000, prefillTokensPerMs = 200.0, attentionMsPerMillionPairs = 0.1)
    private val rule = HeldPrefixRule(keptMs = 10_000)
    private val idle = HolderState(waitMs = 0.0, pace = 1.0, heldTokens = 0)
    private val fresh = HeldPrefix(PromptPrefix(1, 20_000), ageMs = 0)

    private fun savedMs(held: HeldPrefix = fresh, holder: HolderState = idle, kvTokens: Long = 22_000) =
        rule.savedMs(held, kvTokens, holder, profile)

    @Test
    fun `an idle engine saves the prefill of the prefix at its own pace`() {
        expectThat(savedMs()).isEqualTo(profile.prefillMs(20_000))
        expectThat(savedMs(holder = idle.copy(pace = 3.0))).isEqualTo(3 * profile.prefillMs(20_000))
    }

    @Test
    fun `a burst on one prefix spreads as soon as the wait at its holder exceeds what it saves`() {
        val waitsMs = DoubleArray(10)
        val placed = IntArray(10)
        repeat(100) {
            val costs = waitsMs.mapIndexed { i, waitMs ->
                waitMs - if (i == 0 || placed[i] > 0) savedMs(holder = idle.copy(waitMs = waitMs)) else 0.0
            }
            val best = costs.indices.minBy { costs[it] }
            val prefillMs = profile.prefillMs(22_000) - if (best == 0 || placed[best] > 0) profile.prefillMs(20_000) else 0.0
            placed[best]++
            waitsMs[best] += prefillMs
        }
        expectThat(placed.count { it > 0 }).isGreaterThan(5)
        expectThat(placed.max()).isLessThan(25)
    }

    @Test
    fun `a prefix that will be gone when the request's turn comes is worth nothing`() {
        expectThat(savedMs(fresh.copy(ageMs = 9_000))).isLessThan(savedMs() / 5)
        expectThat(savedMs(fresh.copy(ageMs = 6_000), idle.copy(waitMs = 4_000.0))).isEqualTo(0.0)
    }

    @Test
    fun `an engine short of memory loses against one with room`() {
        expectThat(savedMs(holder = idle.copy(heldTokens = 150_000))).isLessThan(savedMs())
        expectThat(savedMs(holder = idle.copy(heldTokens = 190_000))).isEqualTo(0.0)
    }
}
