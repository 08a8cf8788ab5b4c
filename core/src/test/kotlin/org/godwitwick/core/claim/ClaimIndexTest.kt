package org.godwitwick.core.claim

import org.godwitwick.core.claim.ClaimDecision.LogUnavailable
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull

class ClaimIndexTest {
    private val first = claim("1")
    private val second = claim("2")

    /** Guards against granting a key twice. */
    @Test
    fun `the first claim in log order wins and the second is pending`() {
        val index = indexOf(first, second)
        expectThat(index.decide(first)).isEqualTo(ClaimDecision.Granted(0))
        expectThat(index.decide(second)).isEqualTo(ClaimDecision.Pending(first.claimant, START_MS + first.timeoutMs))
    }

    /** Guards against a second grant when an append is retried because its response was lost. */
    @Test
    fun `a claim that is appended twice counts only at its first position`() {
        expectThat(indexOf(first, second, first).decide(first)).isEqualTo(ClaimDecision.Granted(0))
        expectThat(indexOf(first, notRun(first), first, second).decide(second)).isEqualTo(ClaimDecision.Granted(3))
    }

    /** Guards against a delayed append that claims the key after the caller was notified that the call did not run. */
    @Test
    fun `a not-run record before its claim voids the claim`() {
        val index = indexOf(notRun(first), first, second)
        expectThat(index.decide(second)).isEqualTo(ClaimDecision.Granted(2))
        expectThat(index.decide(first)).isA<LogUnavailable>()
    }

    /** Guards against a claimant that dispatches after its claim lost. */
    @Test
    fun `a losing claim stays lost after the winner was voided and a later claim wins`() {
        val third = claim("3")
        val index = indexOf(first, second, notRun(first), third)
        expectThat(index.decide(second)).isA<ClaimDecision.Pending>()
        expectThat(index.decide(third)).isEqualTo(ClaimDecision.Granted(3))
        expectThat(indexOf(first, second, notRun(first)).decide(second)).isEqualTo(ClaimDecision.Freed)
    }

    /** Guards against releasing a key although its call ran. */
    @Test
    fun `a not-run record after an outcome is ignored`() {
        expectThat(
            indexOf(first, outcome(first), notRun(first), second).decide(second),
        ).isEqualTo(ClaimDecision.Replay(1, first.claimId))
    }

    /** Guards against releasing a key while the outcome of its call is unknown. */
    @Test
    fun `a key with an unknown outcome stays claimed until the outcome is recorded`() {
        val unknown = UnknownEntry(first.claimId, first.key)
        expectThat(indexOf(first, unknown, notRun(first), second).decide(second)).isEqualTo(ClaimDecision.OutcomeUnknown)
        expectThat(
            indexOf(first, unknown, outcome(first), second).decide(second),
        ).isEqualTo(ClaimDecision.Replay(2, first.claimId))
    }

    /** Guards against replaying an outcome for a different body or to another organisation. */
    @Test
    fun `a different body is a mismatch and each organisation has its own keys`() {
        val otherBody = claim("2", body = "another body")
        val otherOrganisation = claim("3", claimKey(organisation = "bakery"))
        val index = indexOf(first, outcome(first), otherBody, otherOrganisation)
        expectThat(index.decide(otherBody)).isEqualTo(ClaimDecision.Mismatch)
        expectThat(index.decide(otherOrganisation)).isEqualTo(ClaimDecision.Granted(3))
    }

    /** Guards against readers that check the age of a key by their own clocks. */
    @Test
    fun `the age of a key is checked at the log time of its claim`() {
        val expired = claim("1", claimKey(START_MS - LIMITS.windowMs - 1))
        val oldest = claim("2", claimKey(START_MS - LIMITS.windowMs))
        val future = claim("3", claimKey(START_MS + MAX_KEY_CLOCK_SKEW_MS + 1))
        val index = indexOf(expired, oldest, future)
        expectThat(index.decide(expired)).isEqualTo(ClaimDecision.Expired)
        expectThat(index.decide(oldest)).isEqualTo(ClaimDecision.Granted(1))
        expectThat(index.decide(future)).isEqualTo(ClaimDecision.FromFuture)
    }

    /** Guards against memory use that grows with the age of a shard, and against a grant for a key removed from memory. */
    @Test
    fun `the number of keys in memory is bounded by the window and a removed key cannot be granted again`() {
        val index = ClaimIndex(LIMITS)
        val stepMs = 10_000L
        for (step in 0 until 1_000) {
            val atMs = START_MS + step * stepMs
            index.apply(atMs, listOf(claim("$step", claimKey(atMs))))
            expectThat(index.size.toLong()).isLessThanOrEqualTo(LIMITS.retentionMs / stepMs + 1)
        }
        index.apply(START_MS + 1_000 * stepMs, listOf(second))
        expectThat(index.decide(second)).isA<LogUnavailable>()
    }

    /** Guards against granting a removed key again after the window was widened. */
    @Test
    fun `a key that was removed under a narrow window remains undecidable under a wider one`() {
        val index = indexOf(first)
        val laterMs = START_MS + LIMITS.retentionMs + 1
        index.apply(laterMs, emptyList())
        index.updateLimits(ClaimLimits(windowMs = 10 * LIMITS.windowMs))
        index.apply(laterMs, listOf(second))
        expectThat(index.decide(second)).isA<LogUnavailable>()
    }

    /** Guards against a grant by a reader that lacks records because the log dropped them before their retention ended. */
    @Test
    fun `after a gap only keys created after the next record can be granted`() {
        val index = ClaimIndex(LIMITS)
        index.skipTo(7)
        val laterMs = START_MS + MAX_KEY_CLOCK_SKEW_MS + 1
        val younger = claim("3", claimKey(laterMs + 1))
        index.apply(START_MS, listOf(first))
        index.apply(laterMs, listOf(younger))
        expectThat(index.decide(first)).isA<LogUnavailable>()
        expectThat(index.decide(younger)).isEqualTo(ClaimDecision.Granted(8))
    }

    /** Guards against a grant by an instance that cannot decode records of a newer version. */
    @Test
    fun `an unreadable record counts as a gap`() {
        val index = ClaimIndex(LIMITS)
        index.apply(START_MS, ClaimRecordCodec.decode(byteArrayOf(2, 0)))
        index.apply(START_MS, listOf(first))
        expectThat(index.decide(first)).isA<LogUnavailable>()
    }

    /** Guards against an owner that appends claims which are certain to lose, or that refuses a claim which may win. */
    @Test
    fun `a claim is decided without an append only if its key is held`() {
        expectThat(indexOf(first).decideWithoutAppend(second)).isA<ClaimDecision.Pending>()
        expectThat(indexOf(first).decideWithoutAppend(first)).isEqualTo(ClaimDecision.Granted(0))
        expectThat(indexOf(first, notRun(first)).decideWithoutAppend(second)).isNull()
    }
}
