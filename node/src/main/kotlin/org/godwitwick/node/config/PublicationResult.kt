package org.godwitwick.node.config

import org.godwitwick.core.config.ConfigFault
import org.godwitwick.core.config.EntryConflict

/** What became of a publication. */
sealed interface PublicationResult {
    /** It is in the log at [offset] and took effect, here and on [inForce]; [notConfirmed] weren't known to have it when the wait ended. */
    data class Accepted(val offset: Long, val inForce: List<String>, val notConfirmed: List<String>) : PublicationResult

    /** Another publication came first; nothing took effect and nothing will. [offset] is null when nothing was appended. */
    data class Conflicted(val offset: Long?, val conflicts: List<EntryConflict>) : PublicationResult

    /** It isn't valid; nothing took effect and nothing will. */
    data class Invalid(val faults: List<ConfigFault>) : PublicationResult

    /** Nothing was appended. */
    data class NotAppended(val message: String, val retryAfterMs: Long) : PublicationResult

    /** It is in the log at [offset], which wasn't read again in time; the history will show its outcome. */
    data class Undecided(val offset: Long, val message: String) : PublicationResult

    /** It may be in the log or come into it. Sending the same publication again is safe and tells. */
    data class Unknown(val message: String) : PublicationResult
}
