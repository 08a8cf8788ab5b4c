package org.godwitwick.core.prefix

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Guards against prefixes that are expected where they are not held any more, and against state without a bound. */
class HeldPrefixesTest {
    private val chain = PromptPrefix.chainOf(listOf("manual" to 8_000L, "chapter" to 2_000L))
    private val held = HeldPrefixes(keptMs = 10_000, maxPerUpstream = 3)

    @Test
    fun `the longest prefix that is held counts, also if the prompts differ after it`() {
        held.onComputed("e1/5", chain, nowMs = 0)
        val other = PromptPrefix.chainOf(listOf("manual" to 8_000L, "annex" to 500L))
        expectThat(held.longestAt("e1/5", chain, 2_000)).isEqualTo(HeldPrefix(chain[1], 2_000))
        expectThat(held.longestAt("e1/5", other, 2_000)).isEqualTo(HeldPrefix(chain[0], 2_000))
        expectThat(held.longestAt("e2/5", chain, 2_000)).isNull()
    }

    @Test
    fun `the same part after another beginning is not the same prefix`() {
        held.onComputed("e1/5", chain, nowMs = 0)
        expectThat(held.longestAt("e1/5", PromptPrefix.chainOf(listOf("chapter" to 2_000L)), 0)).isNull()
    }

    @Test
    fun `a new process of an upstream holds nothing`() {
        held.onComputed("e1/5", chain, nowMs = 0)
        expectThat(held.longestAt("e1/6", chain, 1)).isNull()
        held.retain(setOf("e1/6"), nowMs = 1)
        expectThat(held.size).isEqualTo(0)
    }

    @Test
    fun `a prefix ends after the time for which prompts are kept since its last use`() {
        held.onComputed("e1/5", chain, nowMs = 0)
        held.onComputed("e1/5", chain, nowMs = 6_000)
        expectThat(held.longestAt("e1/5", chain, 15_999)?.ageMs).isEqualTo(9_999)
        expectThat(held.longestAt("e1/5", chain, 16_000)).isNull()
        held.retain(setOf("e1/5"), nowMs = 16_000)
        expectThat(held.size).isEqualTo(0)
    }

    @Test
    fun `an upstream has a bounded number of entries, the last used ones`() {
        (1..50).forEach { held.onComputed("e1/5", listOf(PromptPrefix(it, 100)), nowMs = it.toLong()) }
        expectThat(held.size).isEqualTo(3)
        expectThat(held.rows(2, nowMs = 60).map { it.prefix.key }).isEqualTo(listOf(50, 49))
    }

    @Test
    fun `a report of another instance does not make a prefix older than it is known to be, nor revive one that has ended`() {
        held.onComputed("e1/5", chain.take(1), nowMs = 5_000)
        held.onRow(HeldPrefixRow("e1/5", chain[0], ageMs = 3_000), nowMs = 6_000)
        held.onRow(HeldPrefixRow("e2/5", chain[0], ageMs = 10_000), nowMs = 6_000)
        expectThat(held.longestAt("e1/5", chain, 6_000)?.ageMs).isEqualTo(1_000)
        expectThat(held.longestAt("e2/5", chain, 6_000)).isNull()
    }
}
