package org.godwitwick.core.config

/**
 * The folded state of the stream `config`. Immutable; every reader at the same [appliedOffset] holds an equal one.
 *
 * @property appliedOffset offset of the last record that is included, -1 for none.
 * @property history the last [MAX_HISTORY] outcomes, the oldest first.
 * @property snapshotOffset offset of the last snapshot record, -1 for none.
 * @property snapshotTimeMs the log's time of that record.
 */
data class ConfigState(
    val appliedOffset: Long = -1,
    val entries: Map<EntryKey, ConfigEntry> = emptyMap(),
    val history: List<HistoryEntry> = emptyList(),
    val snapshotOffset: Long = -1,
    val snapshotTimeMs: Long = 0,
) {
    /** The outcome of the publication [id] when it is among the last [MAX_HISTORY]. */
    fun outcomeOf(id: String): HistoryEntry? = history.lastOrNull { it.publication.id == id }

    /** This state as a snapshot. */
    fun toSnapshot(): ConfigSnapshot =
        ConfigSnapshot(appliedOffset, entries.values.sortedBy { it.version }, history, snapshotOffset, snapshotTimeMs)

    companion object {
        /** Outcomes that are kept, which is also how far back a duplicate id is recognised. */
        const val MAX_HISTORY = 500

        /** The state that [snapshot] holds. */
        fun of(snapshot: ConfigSnapshot): ConfigState = ConfigState(
            appliedOffset = snapshot.offset,
            entries = snapshot.entries.associateBy { it.key },
            history = snapshot.history,
            snapshotOffset = snapshot.snapshotOffset,
            snapshotTimeMs = snapshot.snapshotTimeMs,
        )
    }
}
