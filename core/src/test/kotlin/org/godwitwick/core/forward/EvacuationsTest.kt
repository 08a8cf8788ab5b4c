package org.godwitwick.core.forward

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class EvacuationsTest {
    private val evacuations = Evacuations(confirmMs = 5_000).apply { onSnapshot(emptySet(), era = 1, offset = 1) }

    private fun evacuate(dataCentre: String, isWithdrawn: Boolean = false) =
        evacuations.onRecord(OperatorRecord.Evacuation(dataCentre, isWithdrawn))

    // Guards against an evacuation that outlasts its withdrawal because its removal was not among the changes read.
    @Test
    fun `a later snapshot of the same era withdraws what it lacks`() {
        evacuations.onSnapshot(setOf("a", "b"), era = 1, offset = 5)
        evacuations.onSnapshot(setOf("b"), era = 1, offset = 7)
        expectThat(evacuations.dataCentres).isEqualTo(setOf("b"))
    }

    // Guards against sends to an evacuated data centre after a change to a reader that is behind.
    @Test
    fun `an earlier snapshot withdraws nothing`() {
        evacuations.onSnapshot(emptySet(), era = 1, offset = 5)
        evacuate("a")
        evacuations.onPosition(era = 1, offset = 6)
        evacuations.onSnapshot(emptySet(), era = 1, offset = 5)
        expectThat(evacuations.dataCentres).isEqualTo(setOf("a"))
    }

    // Guards against an evacuation that ends because the store has returned from an older copy.
    @Test
    fun `an evacuation that the store has lost stays until its record says otherwise`() {
        evacuate("a")
        evacuate("b")
        evacuations.onSnapshot(emptySet(), era = 2, offset = 1)
        evacuations.onSnapshot(emptySet(), era = 2, offset = 2)
        expectThat(evacuations.dataCentres).isEqualTo(setOf("a", "b"))
        evacuate("a", isWithdrawn = true)
        expectThat(evacuations.dataCentres).isEqualTo(setOf("b"))
    }

    // Guards against a lost evacuation that nobody can end, and against a gap until the operators have repeated it.
    @Test
    fun `after a newer configuration only the repeated evacuations stay`() {
        evacuate("a")
        evacuate("b")
        evacuations.onSnapshot(emptySet(), era = 2, offset = 1)
        evacuations.onNewerConfiguration(nowMs = 100)
        evacuate("b")
        evacuations.onNewerConfiguration(nowMs = 4_000)
        evacuations.expire(nowMs = 5_099)
        expectThat(evacuations.dataCentres).isEqualTo(setOf("a", "b"))
        evacuations.expire(nowMs = 5_100)
        expectThat(evacuations.dataCentres).isEqualTo(setOf("b"))
    }

    // Guards against an evacuation that ends with any configuration while the store has lost nothing.
    @Test
    fun `a newer configuration ends no evacuation that the store still has`() {
        evacuate("a")
        evacuations.onNewerConfiguration(nowMs = 0)
        evacuations.expire(nowMs = 60_000)
        expectThat(evacuations.dataCentres).isEqualTo(setOf("a"))
        evacuate("a", isWithdrawn = true)
        expectThat(evacuations.dataCentres).isEmpty()
    }
}
