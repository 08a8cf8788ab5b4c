package org.godwitwick.core.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Result of applying a publication; identical for all readers of the log. */
@Serializable
sealed interface PublicationOutcome {
    /** All changes took effect. */
    @Serializable
    @SerialName("accepted")
    data object Accepted : PublicationOutcome

    /** No change took effect, because entries had changed since the author read them. */
    @Serializable
    @SerialName("conflict")
    data class Conflict(val conflicts: List<EntryConflict>) : PublicationOutcome

    /** No change took effect, because the publication is invalid. */
    @Serializable
    @SerialName("invalid")
    data class Invalid(val faults: List<ConfigFault>) : PublicationOutcome
}

/**
 * A version conflict of an entry, with the author and the publication of the change that caused it, or null if never published.
 */
@Serializable
data class EntryConflict(
    val name: String,
    val scope: ConfigScope,
    val expectedVersion: Long,
    val actualVersion: Long,
    val changedBy: String?,
    val changedByPublication: String?,
)

/** A publication with its outcome; [offset] and [timeMs] are the offset and the log time of its record. */
@Serializable
data class HistoryEntry(val offset: Long, val timeMs: Long, val publication: Publication, val outcome: PublicationOutcome)
