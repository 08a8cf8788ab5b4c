package org.godwitwick.node.peer

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class SilenceMeterTest {
    private val meter = SilenceMeter(periodMs = 500, startMs = 1_000)

    @Test
    fun `silence is counted from the first unanswered frame`() {
        expectThat(meter.tick(0, 1_500)).isEqualTo(0)
        expectThat(meter.tick(1_800, 2_000)).isEqualTo(200)
        expectThat(meter.tick(1_800, 2_500)).isEqualTo(700)
        expectThat(meter.tick(2_600, 3_000)).isEqualTo(400)
    }

    // Guards against closing connections after a frozen machine resumes, while their answers have arrived but are not yet read.
    @Test
    fun `a pause of this process adds at most two ticks of silence`() {
        meter.tick(1_100, 1_500)
        expectThat(meter.tick(1_100, 61_500)).isLessThanOrEqualTo(1_400)
    }

    @Test
    fun `silence that starts before a pause counts for at most two ticks`() {
        expectThat(meter.tick(1_100, 61_500)).isLessThanOrEqualTo(1_000)
    }
}
