package org.godwitwick.core.claim

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class DispatchGuardTest {
    private val guard = DispatchGuard(dispatchByMs = START_MS)

    /** Guards against reporting a call as not run although data may have been sent. */
    @Test
    fun `a dispatched call that fails remains unknown`() {
        expectThat(guard.startDispatch(START_MS)).isTrue()
        expectThat(guard.fail()).isEqualTo(DispatchState.Unknown)
        expectThat(guard.startDispatch(START_MS)).isFalse()
        expectThat(guard.fail()).isEqualTo(DispatchState.Unknown)
    }

    /** Guards against a second dispatch under the same grant. */
    @Test
    fun `a grant allows only one dispatch`() {
        expectThat(guard.startDispatch(START_MS)).isTrue()
        expectThat(guard.startDispatch(START_MS)).isFalse()
    }

    /** Guards against a dispatch after the caller was notified that the call did not run. */
    @Test
    fun `a call that failed before its dispatch is never dispatched`() {
        expectThat(guard.fail()).isEqualTo(DispatchState.NotRun)
        expectThat(guard.startDispatch(START_MS)).isFalse()
    }

    /** Guards against a claimant that dispatches after a long pause. */
    @Test
    fun `a grant that is too old is never used, even if the clock steps back`() {
        expectThat(guard.startDispatch(START_MS + 1)).isFalse()
        expectThat(guard.startDispatch(START_MS)).isFalse()
        expectThat(guard.state).isEqualTo(DispatchState.NotRun)
    }
}
