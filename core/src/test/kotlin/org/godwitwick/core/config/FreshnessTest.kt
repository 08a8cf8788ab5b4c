package org.godwitwick.core.config

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class FreshnessTest {
    private fun at(nowMs: Long, confirmedAtMs: Long? = null, logDownAtMs: Long? = null) =
        freshnessAt(nowMs, confirmedAtMs, logDownAtMs, graceMs = 4_000)

    // Guards against serving for longer than 4 s with a configuration that may have been replaced.
    @Test
    fun `without confirmation an instance is cut off after 3 s and refuses after 4 s`() {
        expectThat(at(13_000, confirmedAtMs = 10_000)).isEqualTo(Freshness.Current)
        expectThat(at(13_001, confirmedAtMs = 10_000)).isEqualTo(Freshness.CutOff(refusesWork = false))
        expectThat(at(14_001, confirmedAtMs = 10_000)).isEqualTo(Freshness.CutOff(refusesWork = true))
        expectThat(at(0)).isEqualTo(Freshness.CutOff(refusesWork = true))
    }

    // Guards against a log outage stopping the whole fleet, and against an outage that ended being believed on.
    @Test
    fun `a log outage keeps the instance serving and its end leaves no extra grace`() {
        expectThat(at(60_000, confirmedAtMs = 10_000, logDownAtMs = 59_900)).isEqualTo(Freshness.LogDown)
        expectThat(at(61_001, confirmedAtMs = 10_000, logDownAtMs = 60_000)).isEqualTo(Freshness.CutOff(refusesWork = true))
    }

    // Guards against an instance on the smaller side of a partition taking its own silence for a log outage.
    @Test
    fun `the log is down only if more than half of every region is heard and nobody is confirmed`() {
        val north = RegionHearing("ee-north", listed = 6, heard = 4, confirmed = 0)
        expectThat(isLogDown(listOf(north, RegionHearing("tn-north", 2, 2, 0)))).isTrue()
        expectThat(isLogDown(listOf(north.copy(heard = 3)))).isFalse()
        expectThat(isLogDown(listOf(north, RegionHearing("tn-north", 2, 1, 0)))).isFalse()
        expectThat(isLogDown(listOf(north.copy(confirmed = 1)))).isFalse()
        expectThat(isLogDown(emptyList())).isFalse()
    }

    // Guards against a change accepted by an instance that reaches the log while all others take the log to be down.
    @Test
    fun `a change may be appended only with more than half of a region confirmed`() {
        expectThat(mayAppendChange(listOf(RegionHearing("a", 6, 6, 3), RegionHearing("b", 2, 0, 0)))).isFalse()
        expectThat(mayAppendChange(listOf(RegionHearing("a", 6, 6, 4), RegionHearing("b", 2, 0, 0)))).isTrue()
    }
}
