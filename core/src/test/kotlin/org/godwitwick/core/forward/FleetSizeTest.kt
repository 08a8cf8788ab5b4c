package org.godwitwick.core.forward

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull

class FleetSizeTest {
    // Guards against instances that start together and take the first, incomplete list for the fleet.
    @Test
    fun `the size is unknown until two lists agree`() {
        val size = FleetSize()
        listOf(1, 2, 6).forEach { count ->
            size.onRegistered(count)
            expectThat(size.settled).isNull()
        }
        size.onRegistered(6)
        expectThat(size.settled).isEqualTo(6)
        expectThat(size.largest).isEqualTo(6)
    }

    // Guards against a larger share of the reserve while instances lapse in the registry but still serve.
    @Test
    fun `instances that lapse leave the largest size as it was`() {
        val size = FleetSize()
        listOf(9, 9, 2).forEach(size::onRegistered)
        expectThat(size.settled).isEqualTo(2)
        expectThat(size.largest).isEqualTo(9)
    }

    // The load pattern: a service fails for all instances at once, and each repeats as much as it may.
    @Test
    fun `the parts of all instances stay within the reserve at any size, also when a third are unknown to the others`() {
        for (reserve in listOf(100, 106, 218, 224)) {
            for (instances in 1..200) {
                val sum = instances * reserveShareOf(reserve, (instances * 2 + 2) / 3)
                expectThat(sum).isLessThanOrEqualTo(reserve)
            }
        }
    }

    @Test
    fun `an instance that knows nothing of the others takes one repeat besides the fraction`() {
        expectThat(reserveShareOf(218, null)).isEqualTo(1)
        expectThat(reserveShareOf(0, null)).isEqualTo(0)
    }
}
