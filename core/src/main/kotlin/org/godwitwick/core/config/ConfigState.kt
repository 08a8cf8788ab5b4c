package org.godwitwick.core.config

/**
 * The configuration state after a prefix of the stream `config`. Immutable; equal for all readers at the same [appliedOffset].
 *
 * @property appliedOffset offset of the last applied record, or -1 if there is none.
 * @property history the last [MAX_HISTORY] outcomes, oldest first.
 * @property snapshotOffset offset of the last snapshot record, or -1 if there is none.
 * @property snapshotTimeMs log time of that record.
 */
data class ConfigState(
    val appliedOffset: Long = -1,
    val entries: Map<EntryKey, ConfigEntry> = emptyMap(),
    val history: List<HistoryEntry> = emptyList(),
    val snapshotOffset: Long = -1,
    val snapshotTimeMs: Long = 0,
) {
    /** Returns the outcome of the publication [id], or null if it is not among the last [MAX_HISTORY]. */
    fun outcomeOf(id: String): HistoryEntry? = history.lastOrNull { it.publication.id == id }

    /** Returns this state as a snapshot. */
    fun toSnapshot(): ConfigSnapshot =
        ConfigSnapshot(appliedOffset, entries.values.sortedBy { it.version }, history, snapshotOffset, snapshotTimeMs)

    companion object {
        /** Number of outcomes that are kept. A duplicate publication is recognised only if its id is among them. */
        const val MAX_HISTORY = 500

        /** Returns the state in [snapshot]. */
        fun of(snapshot: ConfigSnapshot): ConfigState = ConfigState(
            appliedOffset = snapshot.offset,
            entries = snapshot.entries.associateBy { it.key },
            history = snapshot.history,
            snapshotOffset = snapshot.snapshotOffset,
            snapshotTimeMs = snapshot.snapshotTimeMs,
        )
    }
}
