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
    fun `without confirmation an instance is cut off after 3 s and refuses work after 4 s`() {
        expectThat(at(13_000, confirmedAtMs = 10_000)).isEqualTo(Freshness.Current)
        expectThat(at(13_001, confirmedAtMs = 10_000)).isEqualTo(Freshness.CutOff(refusesWork = false))
        expectThat(at(14_001, confirmedAtMs = 10_000)).isEqualTo(Freshness.CutOff(refusesWork = true))
        expectThat(at(0)).isEqualTo(Freshness.CutOff(refusesWork = true))
    }

    // Guards against a log outage stopping the whole fleet, and against serving on after the outage has ended without a
    // confirmation.
    @Test
    fun `an instance keeps serving during a log outage and gets no additional grace period after it`() {
        expectThat(at(60_000, confirmedAtMs = 10_000, logDownAtMs = 59_900)).isEqualTo(Freshness.LogDown)
        expectThat(at(61_001, confirmedAtMs = 10_000, logDownAtMs = 60_000)).isEqualTo(Freshness.CutOff(refusesWork = true))
    }

    // Guards against an instance in the minority of a network partition mistaking its isolation for a log outage.
    @Test
    fun `the log is down only if more than half of every region reported and no instance is confirmed`() {
        val north = RegionReports("ee-north", listed = 6, heard = 4, confirmed = 0)
        expectThat(isLogDown(listOf(north, RegionReports("tn-north", 2, 2, 0)))).isTrue()
        expectThat(isLogDown(listOf(north.copy(heard = 3)))).isFalse()
        expectThat(isLogDown(listOf(north, RegionReports("tn-north", 2, 1, 0)))).isFalse()
        expectThat(isLogDown(listOf(north.copy(confirmed = 1)))).isFalse()
        expectThat(isLogDown(emptyList())).isFalse()
    }

    // Guards against an instance accepting a change when it reaches the log but all others consider the log down.
    @Test
    fun `a change may be appended only with more than half of a region confirmed`() {
        expectThat(mayAppendChange(listOf(RegionReports("a", 6, 6, 3), RegionReports("b", 2, 0, 0)))).isFalse()
        expectThat(mayAppendChange(listOf(RegionReports("a", 6, 6, 4), RegionReports("b", 2, 0, 0)))).isTrue()
    }
}
