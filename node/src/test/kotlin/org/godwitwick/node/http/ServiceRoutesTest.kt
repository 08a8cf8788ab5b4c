package org.godwitwick.node.http

import org.godwitwick.core.error.ErrorKind
import org.godwitwick.node.claim.ClaimFleet.Companion.kind
import org.godwitwick.node.claim.ClaimFleet.Companion.withFleet
import org.godwitwick.standins.service.ServiceFaults
import org.http4k.core.Method
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class ServiceRoutesTest {
    /** Guards against calls to paths that no operator has declared and whose retry may do harm. */
    @Test
    fun `an undeclared route, method or path outside the prefix is refused`() = withFleet(1) { fleet ->
        val instance = fleet.instances.single()
        val kinds = listOf("other", "bookingsx", "bookings/../admin", "bookings/%2E%2e/admin").map {
            instance.call(fleet.newKey(), path = it).kind
        }
        expectThat(
            kinds,
        ).isEqualTo(listOf(ErrorKind.NOT_FOUND, ErrorKind.NOT_FOUND, ErrorKind.BAD_REQUEST, ErrorKind.BAD_REQUEST))
        expectThat(instance.call(fleet.newKey(), method = Method.PUT).kind).isEqualTo(ErrorKind.NOT_FOUND)
        expectThat(fleet.service.arrivals.size).isEqualTo(0)
    }

    /** Guards against calls without a valid caller key, and against bodies that exhaust the memory. */
    @Test
    fun `unknown callers, operators and large bodies are refused`() = withFleet(1) { fleet ->
        val instance = fleet.instances.single()
        expectThat(instance.call(fleet.newKey(), caller = "stranger").kind).isEqualTo(ErrorKind.UNAUTHENTICATED)
        expectThat(instance.call(fleet.newKey(), caller = "operator").kind).isEqualTo(ErrorKind.FORBIDDEN)
        expectThat(instance.call(fleet.newKey(), body = "x".repeat(16 * 1024 * 1024 + 1)).kind).isEqualTo(ErrorKind.TOO_LARGE)
        expectThat(fleet.service.arrivals.size).isEqualTo(0)
    }

    /**
     * Guards against an idempotent status check that fails because one attempt was lost, and against claims written for such
     * calls.
     */
    @Test
    fun `an idempotent call is retried and needs no idempotency key`() = withFleet(1) { fleet ->
        val faults = listOf(ServiceFaults(crashBefore = 1), ServiceFaults(loseAnswers = 1), ServiceFaults(unavailableBefore = 1))
        for (fault in faults) {
            fleet.service.setFaults(fault)
            expectThat(fleet.instances.single().call(null, path = "status/7", method = Method.GET).status.code).isEqualTo(200)
        }
        expectThat(fleet.log.appends).isEqualTo(0)
    }

    /** Guards against retries that multiply the load on a service that is down. */
    @Test
    fun `retries of a failing service stay within the budget`() = withFleet(1) { fleet ->
        fleet.service.setFaults(ServiceFaults(crashBefore = Int.MAX_VALUE))
        repeat(50) { fleet.instances.single().call(null, path = "status/7", method = Method.GET) }
        expectThat(fleet.service.arrivals.size - 50).isLessThan(9)
    }
}
