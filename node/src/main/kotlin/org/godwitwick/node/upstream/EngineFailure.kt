package org.godwitwick.node.upstream

/** Why a call to an engine failed. */
sealed interface EngineFailure {
    val message: String

    /** No connection was made, so nothing ran. */
    data class NotReached(override val message: String) : EngineFailure

    /** The engine answered with [status] and ran nothing. */
    data class Refused(val status: Int, val reason: String) : EngineFailure {
        override val message: String get() = "engine refused with status $status: $reason"
    }

    /** The connection was lost. [wasAccepted] says that the engine had the request: it had answered, or the connection was new. */
    data class ConnectionLost(override val message: String, val wasAccepted: Boolean) : EngineFailure

    /** No bytes came for the stall timeout, or the deadline passed. */
    data class Stalled(override val message: String) : EngineFailure

    /** The engine sent something that doesn't belong to this request or breaks the protocol. */
    data class Misbehaved(override val message: String) : EngineFailure
}
