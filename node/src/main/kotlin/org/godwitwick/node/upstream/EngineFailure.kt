package org.godwitwick.node.upstream

/** The reason for which a call to an engine failed. */
sealed interface EngineFailure {
    val message: String

    /** No connection was established, so nothing ran. */
    data class Unreachable(override val message: String) : EngineFailure

    /** The engine refused the call with HTTP status [status] and ran nothing. */
    data class Refused(val status: Int, val reason: String) : EngineFailure {
        override val message: String get() = "engine refused with status $status: $reason"
    }

    /**
     * The connection was lost.
     *
     * @property wasAccepted whether the engine is known to have had the request: it had begun to answer, or the connection was
     * new.
     */
    data class ConnectionLost(override val message: String, val wasAccepted: Boolean) : EngineFailure

    /** The engine sent no bytes within the stall timeout, or the deadline passed. */
    data class Stalled(override val message: String) : EngineFailure

    /** The engine sent a message that belongs to another request or violates the protocol. */
    data class ProtocolViolation(override val message: String) : EngineFailure
}
