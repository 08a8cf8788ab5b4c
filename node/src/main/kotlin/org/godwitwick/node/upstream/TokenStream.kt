package org.godwitwick.node.upstream

import org.godwitwick.core.error.Failure

/**
 * A pull-based stream of generated tokens. The calling traffic thread blocks in [next]; [close] cancels a request that has not
 * ended.
 */
interface TokenStream : AutoCloseable {
    /** Waits for the next event. [TokenEvent.Done] and [TokenEvent.Failed] are final. */
    fun next(): TokenEvent
}

/** An event of a [TokenStream]. */
sealed interface TokenEvent {
    /** The token at [index], counted from 0. */
    data class Token(val index: Int, val text: String) : TokenEvent

    /** The answer is complete and has [tokens] tokens. */
    data class Done(val tokens: Int) : TokenEvent

    /** The answer cannot be completed. */
    data class Failed(val failure: Failure) : TokenEvent
}
