package org.godwitwick.core.claim

import java.util.concurrent.atomic.AtomicReference

/** Where the call of one granted claim stands. */
sealed interface ClaimantState {
    /** Granted; nothing was written to an upstream. */
    data object Claimed : ClaimantState

    /** A byte may have been written to an upstream. */
    data object Dispatching : ClaimantState

    /** The upstream answered. */
    data class Done(val outcome: Outcome) : ClaimantState

    /** Nothing was written and nothing will be. */
    data object NotRun : ClaimantState

    /** A byte may have been written and the answer was lost. */
    data object Unknown : ClaimantState
}

/**
 * The one dispatch that a grant allows.
 *
 * The end of a call that fails follows from the state: [NotRun][ClaimantState.NotRun] is reached only from
 * [Claimed][ClaimantState.Claimed], so it can't be said after [startDispatch] returned true, and [startDispatch] returns true once.
 *
 * @property dispatchByMs time after which the grant is too old to be used.
 */
class Claimant(private val dispatchByMs: Long) {
    private val current = AtomicReference<ClaimantState>(ClaimantState.Claimed)

    /** Present state. */
    val state: ClaimantState get() = current.get()

    /** Must be called just before the first byte is written. False means that nothing may be written. */
    fun startDispatch(nowMs: Long): Boolean {
        if (nowMs > dispatchByMs) {
            current.compareAndSet(ClaimantState.Claimed, ClaimantState.NotRun)
            return false
        }
        return current.compareAndSet(ClaimantState.Claimed, ClaimantState.Dispatching)
    }

    /** Ends the call with the upstream's answer. */
    fun complete(outcome: Outcome): ClaimantState = end(dispatched = ClaimantState.Done(outcome))

    /** Ends the call without an answer. */
    fun fail(): ClaimantState = end(dispatched = ClaimantState.Unknown)

    private fun end(dispatched: ClaimantState): ClaimantState = current.updateAndGet { before ->
        when (before) {
            ClaimantState.Claimed -> ClaimantState.NotRun
            ClaimantState.Dispatching -> dispatched
            is ClaimantState.Done, ClaimantState.NotRun, ClaimantState.Unknown -> before
        }
    }
}
