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
 * An entry whose version differs from the expected one.
 *
 * @property changedBy author of the last change of the entry, or null if the entry was never published.
 * @property changedByPublication id of the publication with that change, or null if the entry was never published.
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
