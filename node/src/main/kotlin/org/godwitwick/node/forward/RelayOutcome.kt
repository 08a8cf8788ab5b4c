package org.godwitwick.node.forward

import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Executed
import org.godwitwick.core.error.Failure

/** What an instance states of a relayed request in its answer; [text] is the value of the header. */
enum class RelayOutcome(val text: String) {
    /** It was sent to an upstream, or may have been. */
    SERVED("served"),

    /** It was sent to no upstream, and another instance would refuse it as well. */
    REFUSED("refused"),

    /** It was sent to no upstream, and another instance may serve it. */
    UNABLE("unable"),
    ;

    companion object {
        // Kinds that depend on the state of the instance: its links, its shutdown and the age of its configuration.
        private val KINDS_OF_INSTANCE = setOf(
            ErrorKind.NO_UPSTREAM,
            ErrorKind.DRAINING,
            ErrorKind.CONFIG_UNCONFIRMED,
            ErrorKind.NOT_FOUND,
            ErrorKind.UNAUTHENTICATED,
        )

        /** The outcome of a request that ended with [failure]; [wasSent] tells whether an upstream has received it. */
        fun of(failure: Failure, wasSent: Boolean): RelayOutcome = when {
            wasSent || failure.ran != Executed.NO -> SERVED
            failure.kind in KINDS_OF_INSTANCE -> UNABLE
            else -> REFUSED
        }

        /** The outcome with [text], or null if it is none. */
        fun ofText(text: String?): RelayOutcome? = entries.firstOrNull { it.text == text }
    }
}
