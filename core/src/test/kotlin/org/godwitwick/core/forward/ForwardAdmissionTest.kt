package org.godwitwick.core.forward

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Executed
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

class ForwardAdmissionTest {
    private val admission = ForwardAdmission(KeyFreshness(revocationMs = 5_000))
    private val table = RoutingTable(config(1, route(), route(prefix = "/open/", isPublic = true)))
    private val proven = ClockReading(steadyMs = 10_000, wallMs = 1_000_000)
    private val routingState = RoutingState(table, proven)
    private val target = ForwardTarget("menu.example", "/draft/1", "key-1")

    private fun after(steadyMs: Long, wallMs: Long = steadyMs) = ClockReading(proven.steadyMs + steadyMs, proven.wallMs + wallMs)

    @Test
    fun `a request with a valid key is admitted`() {
        expectThat(admission.admit(target, routingState, after(1_000)).get()).isNotNull()
    }

    // Guards against a newly started instance that denies requests before it has read the configuration.
    @Test
    fun `without a configuration all requests are refused as not run`() {
        val failure = admission.admit(target, RoutingState(null, null), after(0)).getError()
        expectThat(failure?.kind).isEqualTo(ErrorKind.CONFIG_UNCONFIRMED)
        expectThat(failure?.ran).isEqualTo(Executed.NO)
    }

    @Test
    fun `an unknown key and an unknown route are denied if the configuration is up to date`() {
        expectThat(
            admission.admit(target.copy(key = "other"), routingState, after(0)).getError()?.kind,
        ).isEqualTo(ErrorKind.UNAUTHENTICATED)
        expectThat(
            admission.admit(target.copy(path = "/none/1"), routingState, after(0)).getError()?.kind,
        ).isEqualTo(ErrorKind.NOT_FOUND)
    }

    // Guards against a revoked key that is still accepted by an instance without access to the store.
    @Test
    fun `no key is accepted once the configuration has been unconfirmed for the revocation time`() {
        expectThat(admission.admit(target, routingState, after(5_000)).getError()?.kind).isEqualTo(ErrorKind.CONFIG_UNCONFIRMED)
    }

    // Guards against a machine whose steady clock stopped while it was suspended.
    @Test
    fun `time that only the wall clock counted makes the configuration stale`() {
        val failure = admission.admit(target, routingState, after(steadyMs = 100, wallMs = 6_000)).getError()
        expectThat(failure?.kind).isEqualTo(ErrorKind.CONFIG_UNCONFIRMED)
    }

    @Test
    fun `an unknown route is not denied if the configuration is stale`() {
        val failure = admission.admit(target.copy(path = "/none/1"), routingState, after(9_000)).getError()
        expectThat(failure?.kind).isEqualTo(ErrorKind.CONFIG_UNCONFIRMED)
    }

    @Test
    fun `a public route needs no key and no confirmed configuration`() {
        expectThat(admission.admit(target.copy(path = "/open/1", key = null), routingState, after(60_000)).get()).isNotNull()
    }
}
