package org.godwitwick.node.upstream

import org.godwitwick.core.error.Failure

/** A pull-based stream of generated tokens. The calling traffic thread blocks in [next]; [close] cancels what is still running. */
interface TokenStream : AutoCloseable {
    /** Waits for the next event. After [TokenEvent.Done] or [TokenEvent.Failed] there are no more. */
    fun next(): TokenEvent
}

/** One event of a [TokenStream]. */
sealed interface TokenEvent {
    /** Token number [index], counted from 0. */
    data class Token(val index: Int, val text: String) : TokenEvent

    /** The answer is complete and has [tokens] tokens. */
    data class Done(val tokens: Int) : TokenEvent

    /** The answer can't be completed. */
    data class Failed(val failure: Failure) : TokenEvent
}
