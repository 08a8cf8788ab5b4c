package org.godwitwick.node.forward

import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class RelayHeadersTest {
    private fun isNotSent(kind: ErrorKind): Boolean {
        val response = RelayHeaders.withOutcome(Response(Status.OK), Failure(kind, "failed"))
        return RelayHeaders.isNotSent(response.header(RelayHeaders.OUTCOME))
    }

    // Guards against a charge that is sent again because the other instance failed after it had sent it.
    @Test
    fun `a failure of the instance itself does not state that the request was not sent`() {
        expectThat(isNotSent(ErrorKind.INTERNAL)).isFalse()
        expectThat(isNotSent(ErrorKind.CONFIG_UNCONFIRMED)).isTrue()
        expectThat(isNotSent(ErrorKind.DRAINING)).isTrue()
    }
}
