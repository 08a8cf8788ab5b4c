package org.godwitwick.core.config

/**
 * Consecutive records: every record with [fromOffset] ≤ offset < [nextOffset] is included.
 */
class ConfigPage(val fromOffset: Long, val nextOffset: Long, val records: List<ConfigLogRecord>)

/**
 * The fold over the stream `config`: a state and, when records before the reader's next one have expired, the records that wait for a
 * snapshot. The state never goes back.
 */
class ConfigFold private constructor(val state: ConfigState, private val waiting: ConfigPage?) {
    constructor(state: ConfigState = ConfigState()) : this(state, null)

    /** Offset of the first record that this fold hasn't read. */
    val nextOffset: Long get() = waiting?.nextOffset ?: (state.appliedOffset + 1)

    /** Whether records were missed and no snapshot has bridged the gap yet. */
    val isInGap: Boolean get() = waiting != null

    /** The fold after [page]. Pages may overlap what was read; a page that starts later than [nextOffset] opens a gap. */
    fun apply(page: ConfigPage): ConfigFold {
        if (page.nextOffset <= nextOffset) return this
        val fresh = page.records.filter { it.offset >= nextOffset }.sortedBy { it.offset }
        if (waiting == null && page.fromOffset <= nextOffset) return ConfigFold(folded(state, fresh))
        val pending = if (waiting == null || page.fromOffset > nextOffset) {
            ConfigPage(page.fromOffset, page.nextOffset, fresh)
        } else {
            ConfigPage(waiting.fromOffset, page.nextOffset, waiting.records + fresh)
        }
        return bridged(pending)
    }

    /** The fold after a peer's [snapshot]; one that isn't ahead of the state is ignored. */
    fun adopt(snapshot: ConfigSnapshot): ConfigFold {
        if (snapshot.offset <= state.appliedOffset) return this
        val adopted = ConfigState.of(snapshot)
        if (waiting == null || waiting.fromOffset > snapshot.offset + 1) return ConfigFold(adopted, waiting)
        return ConfigFold(folded(adopted, waiting.records.filter { it.offset > snapshot.offset }))
    }

    // Only a snapshot that reaches up to the first waiting record closes the gap; records after its offset still apply on top of it.
    private fun bridged(pending: ConfigPage): ConfigFold {
        val snapshot = pending.records
            .mapNotNull { (decodeConfigRecord(it.data) as? ConfigRecord.Snapshot)?.snapshot }
            .firstOrNull { it.offset >= pending.fromOffset - 1 && it.offset > state.appliedOffset }
            ?: return ConfigFold(state, pending)
        return ConfigFold(folded(ConfigState.of(snapshot), pending.records.filter { it.offset > snapshot.offset }))
    }

    private fun folded(from: ConfigState, records: List<ConfigLogRecord>): ConfigState {
        if (records.isEmpty()) return from
        return StateBuilder(from).apply { records.forEach(::add) }.build()
    }
}

private class StateBuilder(from: ConfigState) {
    private var state = from
    private val entries = LinkedHashMap(from.entries)
    private val history = ArrayDeque(from.history)
    private val knownIds = from.history.mapTo(HashSet()) { it.publication.id }

    fun add(record: ConfigLogRecord) {
        when (val content = decodeConfigRecord(record.data)) {
            is ConfigRecord.Published -> publish(record, content.publication)
            is ConfigRecord.Snapshot -> state = state.copy(snapshotOffset = record.offset, snapshotTimeMs = record.timeMs)
            null -> Unit
        }
        state = state.copy(appliedOffset = record.offset)
    }

    fun build(): ConfigState = state.copy(entries = entries.toMap(), history = history.toList())

    private fun publish(record: ConfigLogRecord, publication: Publication) {
        if (!knownIds.add(publication.id)) return
        val outcome = decide(publication)
        if (outcome == PublicationOutcome.Accepted) publication.changes.forEach { put(record.offset, publication, it) }
        history.addLast(HistoryEntry(record.offset, record.timeMs, publication, outcome))
        if (history.size > ConfigState.MAX_HISTORY) knownIds.remove(history.removeFirst().publication.id)
    }

    private fun decide(publication: Publication): PublicationOutcome {
        val faults = faultsOf(publication)
        if (faults.isNotEmpty()) return PublicationOutcome.Invalid(faults)
        val conflicts = publication.changes.mapNotNull { conflictOf(it) }
        return if (conflicts.isEmpty()) PublicationOutcome.Accepted else PublicationOutcome.Conflict(conflicts)
    }

    private fun conflictOf(change: ConfigChange): EntryConflict? {
        val entry = entries[EntryKey(change.name, change.scope)]
        val version = entry?.version ?: NO_VERSION
        if (version == change.expectedVersion) return null
        return EntryConflict(change.name, change.scope, change.expectedVersion, version, entry?.author, entry?.publicationId)
    }

    private fun put(offset: Long, publication: Publication, change: ConfigChange) {
        val entry = ConfigEntry(
            name = change.name,
            scope = change.scope,
            value = change.value,
            version = offset,
            publicationId = publication.id,
            author = publication.author,
            atMs = publication.atMs,
            reason = publication.reason,
        )
        entries[entry.key] = entry
    }
}
