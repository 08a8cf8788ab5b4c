package org.godwitwick.core.forward

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull

class FleetSizeTest {
    // Guards against instances that start together and mistake the first, incomplete list for the whole fleet.
    @Test
    fun `the size is unknown until two consecutive lists have the same number of instances`() {
        val size = FleetSize()
        listOf(1, 2, 6).forEach { count ->
            size.onRegistered(count)
            expectThat(size.settled).isNull()
        }
        size.onRegistered(6)
        expectThat(size.settled).isEqualTo(6)
        expectThat(size.largest).isEqualTo(6)
    }

    // Guards against a larger share of the reserve while registrations expire whose instances are still serving.
    @Test
    fun `expired registrations do not reduce the largest size`() {
        val size = FleetSize()
        listOf(9, 9, 2).forEach(size::onRegistered)
        expectThat(size.settled).isEqualTo(2)
        expectThat(size.largest).isEqualTo(9)
    }

    // Load pattern: a service fails for all instances at once, and each instance uses its full share of retries.
    @Test
    fun `the shares of all instances stay within the reserve at any fleet size, even if each knows only two thirds of them`() {
        for (reserve in listOf(100, 106, 218, 224)) {
            for (instances in 1..200) {
                val sum = instances * reserveShareOf(reserve, (instances * 2 + 2) / 3)
                expectThat(sum).isLessThanOrEqualTo(reserve)
            }
        }
    }

    @Test
    fun `an instance that does not know the fleet size gets one retry from the reserve`() {
        expectThat(reserveShareOf(218, null)).isEqualTo(1)
        expectThat(reserveShareOf(0, null)).isEqualTo(0)
    }
}
