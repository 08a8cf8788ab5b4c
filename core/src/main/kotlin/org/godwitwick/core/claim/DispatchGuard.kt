package org.godwitwick.core.claim

import java.util.concurrent.atomic.AtomicReference

/** State of the call of a granted claim. */
sealed interface DispatchState {
    /** Granted; nothing was sent to an upstream. */
    data object Claimed : DispatchState

    /** Data may have been sent to an upstream. */
    data object Dispatching : DispatchState

    /** The upstream responded. */
    data class Done(val outcome: Outcome) : DispatchState

    /** Nothing was sent and nothing will be. */
    data object NotRun : DispatchState

    /** Data may have been sent and the response was lost. */
    data object Unknown : DispatchState
}

/**
 * Ensures that a grant is used for at most one dispatch, and that a call is reported as not run only if nothing was sent.
 *
 * [startDispatch] returns true at most once. [NotRun][DispatchState.NotRun] is reached only from
 * [Claimed][DispatchState.Claimed], and therefore never after [startDispatch] returned true.
 *
 * @property dispatchByMs time after which the grant is too old to be used, in milliseconds on the clock of `nowMs`.
 */
class DispatchGuard(private val dispatchByMs: Long) {
    private val current = AtomicReference<DispatchState>(DispatchState.Claimed)

    /** Current state. */
    val state: DispatchState get() = current.get()

    /** Must be called immediately before the first byte is sent. Returns whether sending is permitted. */
    fun startDispatch(nowMs: Long): Boolean {
        if (nowMs > dispatchByMs) {
            current.compareAndSet(DispatchState.Claimed, DispatchState.NotRun)
            return false
        }
        return current.compareAndSet(DispatchState.Claimed, DispatchState.Dispatching)
    }

    /** Ends the call with the response of the upstream and returns the final state. */
    fun complete(outcome: Outcome): DispatchState = end(dispatched = DispatchState.Done(outcome))

    /** Ends the call without a response and returns the final state. */
    fun fail(): DispatchState = end(dispatched = DispatchState.Unknown)

    private fun end(dispatched: DispatchState): DispatchState = current.updateAndGet { before ->
        when (before) {
            DispatchState.Claimed -> DispatchState.NotRun
            DispatchState.Dispatching -> dispatched
            is DispatchState.Done, DispatchState.NotRun, DispatchState.Unknown -> before
        }
    }
}
