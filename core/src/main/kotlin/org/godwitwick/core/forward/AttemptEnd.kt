package org.godwitwick.core.forward

/** Result of one attempt to send a request to an upstream. */
sealed interface AttemptEnd {
    /** The upstream returned a complete answer. */
    data class Answered(val status: Int) : AttemptEnd

    /**
     * The upstream stated that it did not run the request.
     *
     * @property retryAfterMs wait that the upstream advises before a retry, in milliseconds, or null if it gave none.
     */
    data class Refused(val status: Int, val retryAfterMs: Long?) : AttemptEnd

    /** No part of the request was written to the upstream. */
    data class NotSent(val cause: String) : AttemptEnd

    /**
     * The request was sent, but no complete answer was received; the request may have run.
     *
     * @property isConnectionLost whether the connection ended without this side closing it, as when the upstream crashes.
     */
    data class Broken(val cause: String, val isConnectionLost: Boolean = false) : AttemptEnd
}
