package org.godwitwick.node.forward

import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class RelayOutcomeTest {
    private fun outcomeOf(kind: ErrorKind) = RelayOutcome.of(Failure(kind, "failed"), wasSent = false)

    // Guards against a charge that is sent again because the other instance failed after it had sent it.
    @Test
    fun `a failure of the instance itself does not state that the request was not sent`() {
        expectThat(outcomeOf(ErrorKind.INTERNAL)).isEqualTo(RelayOutcome.SERVED)
        expectThat(RelayOutcome.of(Failure(ErrorKind.OVERLOADED, "full"), wasSent = true)).isEqualTo(RelayOutcome.SERVED)
    }

    @Test
    fun `what depends on the instance may be served by another one, what depends on the request may not`() {
        expectThat(outcomeOf(ErrorKind.CONFIG_UNCONFIRMED)).isEqualTo(RelayOutcome.UNABLE)
        expectThat(outcomeOf(ErrorKind.DRAINING)).isEqualTo(RelayOutcome.UNABLE)
        expectThat(outcomeOf(ErrorKind.OVERLOADED)).isEqualTo(RelayOutcome.REFUSED)
        expectThat(outcomeOf(ErrorKind.REQUEST_QUARANTINED)).isEqualTo(RelayOutcome.REFUSED)
    }
}
