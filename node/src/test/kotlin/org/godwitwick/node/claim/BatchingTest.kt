package org.godwitwick.node.claim

import org.godwitwick.node.claim.ClaimFleet.Companion.async
import org.godwitwick.node.claim.ClaimFleet.Companion.await
import org.godwitwick.standins.log.LogFaults
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

class BatchingTest {
    private val callsPerCaller = 8

    /** Guards against one append per claim and outcome, which would exceed the append rate of the log in a large fleet. */
    @Test
    fun `claims and outcomes of concurrent calls are batched into shared appends`() {
        val appendsPerCall = listOf(1, 4, 16, 64).associateWith(::measure)
        println("appends per call by concurrent callers: $appendsPerCall")
        expectThat(appendsPerCall.getValue(1)).isLessThanOrEqualTo(2.0)
        expectThat(appendsPerCall.getValue(64)).isLessThan(0.5)
    }

    private fun measure(callers: Int): Double = ClaimFleet(3).use { fleet ->
        fleet.log.setFaults(LogFaults(slowMs = 5))
        val running = (0 until callers).map { number ->
            async {
                val instance = fleet.instances[number % fleet.instances.size]
                repeat(callsPerCaller) { expectThat(instance.call(fleet.newKey()).status.code).isEqualTo(200) }
            }
        }
        running.forEach { it.get() }
        expectThat(fleet.service.totalExecutions).isEqualTo(callers * callsPerCaller)
        val last = fleet.newKey()
        fleet.instances.first().call(last)
        fleet.callUntilSettled(fleet.instances.first(), last)
        await { fleet.instances.all { it.claims.queuedEntries == 0 } }
        fleet.log.appends.toDouble() / (callers * callsPerCaller + 1)
    }
}
