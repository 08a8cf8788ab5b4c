package org.godwitwick.node.config

import org.godwitwick.core.config.ConfigFault
import org.godwitwick.core.config.EntryConflict

/** Result of a publication. */
sealed interface PublicationResult {
    /**
     * The publication is in the log at [offset] and took effect.
     *
     * @property inForce ids of the instances that are known to have applied it.
     * @property notConfirmed ids of the instances that were not known to have applied it when the wait ended.
     */
    data class Accepted(val offset: Long, val inForce: List<String>, val notConfirmed: List<String>) : PublicationResult

    /** Another publication changed an entry first. Nothing took effect or will. [offset] is null if nothing was appended. */
    data class Conflicted(val offset: Long?, val conflicts: List<EntryConflict>) : PublicationResult

    /** The publication is invalid. Nothing took effect or will. */
    data class Invalid(val faults: List<ConfigFault>) : PublicationResult

    /** Nothing was appended. The publication may be retried after [retryAfterMs] milliseconds. */
    data class NotAppended(val message: String, val retryAfterMs: Long) : PublicationResult

    /** The publication is in the log at [offset], but was not read back in time. The history will contain its outcome. */
    data class Undecided(val offset: Long, val message: String) : PublicationResult

    /** The publication may be in the log or may still be appended. Sending it again unchanged is safe and shows its outcome. */
    data class Unknown(val message: String) : PublicationResult
}
