package org.godwitwick.core.claim

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class ClaimantTest {
    private val claimant = Claimant(dispatchByMs = START_MS)

    /** Guards against "not run" for a call of which a byte may have been written. */
    @Test
    fun `a dispatched call that fails is unknown for good`() {
        expectThat(claimant.startDispatch(START_MS)).isTrue()
        expectThat(claimant.fail()).isEqualTo(ClaimantState.Unknown)
        expectThat(claimant.startDispatch(START_MS)).isFalse()
        expectThat(claimant.fail()).isEqualTo(ClaimantState.Unknown)
    }

    /** Guards against a second write under one grant. */
    @Test
    fun `a grant allows one dispatch`() {
        expectThat(claimant.startDispatch(START_MS)).isTrue()
        expectThat(claimant.startDispatch(START_MS)).isFalse()
    }

    /** Guards against a dispatch after the caller was told that the call did not run. */
    @Test
    fun `a call that was given up is never dispatched`() {
        expectThat(claimant.fail()).isEqualTo(ClaimantState.NotRun)
        expectThat(claimant.startDispatch(START_MS)).isFalse()
    }

    /** Guards against a claimant that dispatches after a long pause. */
    @Test
    fun `a grant that is too old is not used, also when the clock steps back`() {
        expectThat(claimant.startDispatch(START_MS + 1)).isFalse()
        expectThat(claimant.startDispatch(START_MS)).isFalse()
        expectThat(claimant.state).isEqualTo(ClaimantState.NotRun)
    }
}
