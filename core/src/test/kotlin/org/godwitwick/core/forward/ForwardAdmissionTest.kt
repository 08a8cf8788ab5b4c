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
    private val knowledge = ConfigKnowledge(table, proven)
    private val target = ForwardTarget("menu.example", "/draft/1", "key-1")

    private fun after(steadyMs: Long, wallMs: Long = steadyMs) = ClockReading(proven.steadyMs + steadyMs, proven.wallMs + wallMs)

    @Test
    fun `a request with a valid key is admitted`() {
        expectThat(admission.admit(target, knowledge, after(1_000)).get()).isNotNull()
    }

    // Guards against a new instance that denies requests before it has read the configuration.
    @Test
    fun `without a configuration every request is refused as not run`() {
        val failure = admission.admit(target, ConfigKnowledge(null, null), after(0)).getError()
        expectThat(failure?.kind).isEqualTo(ErrorKind.CONFIG_UNCONFIRMED)
        expectThat(failure?.ran).isEqualTo(Executed.NO)
    }

    @Test
    fun `an unknown key and an unknown route are denied by an instance that knows the newest configuration`() {
        expectThat(
            admission.admit(target.copy(key = "other"), knowledge, after(0)).getError()?.kind,
        ).isEqualTo(ErrorKind.UNAUTHENTICATED)
        expectThat(
            admission.admit(target.copy(path = "/none/1"), knowledge, after(0)).getError()?.kind,
        ).isEqualTo(ErrorKind.NOT_FOUND)
    }

    // Guards against a withdrawn key that runs at an instance which the store does not serve.
    @Test
    fun `no key is honoured once the configuration has not been confirmed for the revocation bound`() {
        expectThat(admission.admit(target, knowledge, after(5_000)).getError()?.kind).isEqualTo(ErrorKind.CONFIG_UNCONFIRMED)
    }

    // Guards against a suspended machine, whose steady clock did not count the time.
    @Test
    fun `time that only the wall clock counted makes the configuration old`() {
        val failure = admission.admit(target, knowledge, after(steadyMs = 100, wallMs = 6_000)).getError()
        expectThat(failure?.kind).isEqualTo(ErrorKind.CONFIG_UNCONFIRMED)
    }

    @Test
    fun `an instance with an old configuration does not deny a route that may have been added`() {
        val failure = admission.admit(target.copy(path = "/none/1"), knowledge, after(9_000)).getError()
        expectThat(failure?.kind).isEqualTo(ErrorKind.CONFIG_UNCONFIRMED)
    }

    @Test
    fun `a public route needs no key and no confirmed configuration`() {
        expectThat(admission.admit(target.copy(path = "/open/1", key = null), knowledge, after(60_000)).get()).isNotNull()
    }
}
