package org.godwitwick.core.forward

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

class UpstreamAbsencesTest {
    private val absences = UpstreamAbsences()

    @Test
    fun `a wait ends after its time, and the latest one counts`() {
        absences.onWait("a/1", 2_000, nowMs = 0)
        expectThat(absences.waitMs("a/1", 500)).isEqualTo(1_500)
        absences.onWait("a/1", 500, nowMs = 1_000)
        expectThat(absences.waitMs("a/1", 1_499)).isEqualTo(1)
        expectThat(absences.waitMs("a/1", 1_500)).isEqualTo(0)
    }

    // Guards against an upstream that is lost to the fleet because it stated a nonsensical time.
    @Test
    fun `an absurdly long wait is bounded`() {
        absences.onWait("a/1", Long.MAX_VALUE, nowMs = 0)
        expectThat(absences.waitMs("a/1", 0)).isLessThan(3_600_000)
    }

    // Guards against an upstream that stays excluded after it has started again.
    @Test
    fun `another process under the same id begins without the statements of the last one`() {
        absences.onLeaving("a/1")
        expectThat(absences.isPresent("a/1")).isFalse()
        expectThat(absences.isPresent("a/2")).isTrue()
        absences.retain(setOf("a/2"))
        expectThat(absences.leavingCount).isEqualTo(0)
    }
}
