package org.godwitwick.core.config

/** Consecutive records of the stream `config`: all records with [fromOffset] ≤ offset < [nextOffset]. */
class ConfigPage(val fromOffset: Long, val nextOffset: Long, val records: List<ConfigLogRecord>)

/**
 * The result of applying the records of the stream `config` in order. Immutable.
 *
 * If records expired before they were read, the state is left unchanged and later records are kept in [pendingPage] until a
 * snapshot closes the gap. The state never reverts to an earlier offset.
 */
class ConfigFold private constructor(val state: ConfigState, private val pendingPage: ConfigPage?) {
    constructor(state: ConfigState = ConfigState()) : this(state, null)

    /** Offset of the next record to read. */
    val nextOffset: Long get() = pendingPage?.nextOffset ?: (state.appliedOffset + 1)

    /** Whether records were missed and no snapshot has closed the gap yet. */
    val hasGap: Boolean get() = pendingPage != null

    /** Returns the fold after [page], which may overlap earlier pages. A page that starts after [nextOffset] opens a gap. */
    fun apply(page: ConfigPage): ConfigFold {
        if (page.nextOffset <= nextOffset) return this
        val fresh = page.records.filter { it.offset >= nextOffset }.sortedBy { it.offset }
        if (pendingPage == null && page.fromOffset <= nextOffset) return ConfigFold(applyRecords(state, fresh))
        val pending = if (pendingPage == null || page.fromOffset > nextOffset) {
            ConfigPage(page.fromOffset, page.nextOffset, fresh)
        } else {
            ConfigPage(pendingPage.fromOffset, page.nextOffset, pendingPage.records + fresh)
        }
        return closeGap(pending)
    }

    /** Returns the fold after a [snapshot] from a peer. A snapshot that is not newer than the state is ignored. */
    fun adopt(snapshot: ConfigSnapshot): ConfigFold {
        if (snapshot.offset <= state.appliedOffset) return this
        val adopted = ConfigState.of(snapshot)
        if (pendingPage == null || pendingPage.fromOffset > snapshot.offset + 1) return ConfigFold(adopted, pendingPage)
        return ConfigFold(applyRecords(adopted, pendingPage.records.filter { it.offset > snapshot.offset }))
    }

    // Only a snapshot that includes all records before the first pending one closes the gap. Later records still apply.
    private fun closeGap(pending: ConfigPage): ConfigFold {
        val snapshot = pending.records
            .mapNotNull { (decodeConfigRecord(it.data) as? ConfigRecord.Snapshot)?.snapshot }
            .firstOrNull { it.offset >= pending.fromOffset - 1 && it.offset > state.appliedOffset }
            ?: return ConfigFold(state, pending)
        return ConfigFold(applyRecords(ConfigState.of(snapshot), pending.records.filter { it.offset > snapshot.offset }))
    }

    private fun applyRecords(from: ConfigState, records: List<ConfigLogRecord>): ConfigState {
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
