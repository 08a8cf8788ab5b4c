package org.godwitwick.core.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What the fold decided about a publication. Every reader of the log decides alike. */
@Serializable
sealed interface PublicationOutcome {
    /** All changes took effect. */
    @Serializable
    @SerialName("accepted")
    data object Accepted : PublicationOutcome

    /** Nothing took effect, because entries had changed since the author read them. */
    @Serializable
    @SerialName("conflict")
    data class Conflict(val conflicts: List<EntryConflict>) : PublicationOutcome

    /** Nothing took effect, because the publication is not valid. */
    @Serializable
    @SerialName("invalid")
    data class Invalid(val faults: List<ConfigFault>) : PublicationOutcome
}

/** An entry that had another version than expected, and whose change made it so. */
@Serializable
data class EntryConflict(
    val name: String,
    val scope: ConfigScope,
    val expectedVersion: Long,
    val actualVersion: Long,
    val changedBy: String?,
    val changedByPublication: String?,
)

/** One publication of the log with its outcome; [timeMs] is the log's time of the record. */
@Serializable
data class HistoryEntry(val offset: Long, val timeMs: Long, val publication: Publication, val outcome: PublicationOutcome)
