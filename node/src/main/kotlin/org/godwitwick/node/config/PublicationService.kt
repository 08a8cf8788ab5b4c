package org.godwitwick.node.config

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull
import org.godwitwick.core.config.ConfigFault
import org.godwitwick.core.config.ConfigField
import org.godwitwick.core.config.ConfigRecord
import org.godwitwick.core.config.EntryConflict
import org.godwitwick.core.config.EntryKey
import org.godwitwick.core.config.HistoryEntry
import org.godwitwick.core.config.Publication
import org.godwitwick.core.config.PublicationOutcome
import org.godwitwick.core.config.RegionReports
import org.godwitwick.core.config.encodeConfigRecord
import org.godwitwick.core.config.faultsOf
import org.godwitwick.core.config.mayAppendChange
import org.godwitwick.node.control.ControlThread
import org.godwitwick.node.peer.AppliedOffset
import org.godwitwick.node.platform.LogFailure
import org.godwitwick.node.platform.PlatformLog
import org.slf4j.LoggerFactory
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** What the service asks about other instances; called on the control thread. */
interface FleetStanding {
    /** What was heard of each region. */
    fun regions(): List<RegionReports>

    /** Offset that each instance has applied. */
    fun appliedOffsets(): List<AppliedOffset>
}

/** Bounds of the waits of one publication, in milliseconds. */
data class PublicationWaits(
    val appendMs: Long = 3_000,
    val outcomeMs: Long = 3_000,
    val inForceMs: Long = 4_000,
    val pollMs: Long = 50,
)

/** Appends publications and finds out what became of them. Calls block their thread. */
class PublicationService(
    private val log: PlatformLog,
    private val store: ConfigStore,
    private val control: ControlThread,
    private val fleet: FleetStanding,
    private val readLog: () -> AutoCloseable,
    private val logRetentionMs: Long,
    private val waits: PublicationWaits = PublicationWaits(),
    private val monotonicMs: () -> Long = { System.nanoTime() / 1_000_000 },
) {
    /** Publishes [publication] and answers with what is known about it. */
    fun publish(publication: Publication): PublicationResult {
        val faults = faultsOf(publication) + claimWindowFaults(publication)
        if (faults.isNotEmpty()) return PublicationResult.Invalid(faults)
        store.state.outcomeOf(publication.id)?.let { return known(it, publication) }
        val conflicts = certainConflicts(publication)
        if (conflicts.isNotEmpty()) return PublicationResult.Conflicted(null, conflicts)
        if (!control.ask { mayAppendChange(fleet.regions()) }.get()) {
            return PublicationResult.NotAppended("no majority of a region has a confirmed configuration", RETRY_AFTER_MS)
        }
        return readLog().use { append(publication) }
    }

    private fun append(publication: Publication): PublicationResult {
        val record = encodeConfigRecord(ConfigRecord.Published(publication))
        var doubt: String? = null
        repeat(MAX_APPENDS) {
            val outcome = appendOnce(record).fold(
                { offset ->
                    val entry = awaitOutcome(publication.id)
                        ?: return PublicationResult.Undecided(
                            offset,
                            "the log took the publication but wasn't read again in time",
                        )
                    return known(entry, publication)
                },
                { it },
            )
            if (outcome is LogFailure.NotApplied &&
                doubt == null
            ) {
                return PublicationResult.NotAppended(outcome.message, outcome.retryMs())
            }
            if (outcome is LogFailure.Unknown) doubt = outcome.message
            // A lost answer doesn't tell whether the record was appended. It is if it can be read; if not, a second append is harmless, because
            // the fold ignores a duplicate id.
            awaitOutcome(publication.id)?.let { return known(it, publication) }
        }
        return PublicationResult.Unknown("the log gave no answer: $doubt")
    }

    private fun appendOnce(record: ByteArray): Result<Long, LogFailure> = log.append(CONFIG_STREAM, record, waits.appendMs)

    private fun LogFailure.NotApplied.retryMs() = retryAfterMs ?: RETRY_AFTER_MS

    private fun awaitOutcome(id: String): HistoryEntry? {
        val future = control.ask { store.outcomeOf(id) }.get()
        return try {
            future.get(waits.outcomeMs, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            control.post { store.forget(id, future) }
            null
        }
    }

    private fun known(entry: HistoryEntry, publication: Publication): PublicationResult {
        if (entry.publication != publication) {
            val fault =
                ConfigFault("id", publication.id, "an id that no other publication has; ${entry.publication.author} used it")
            return PublicationResult.Invalid(listOf(fault))
        }
        return when (val outcome = entry.outcome) {
            PublicationOutcome.Accepted -> accepted(entry)
            is PublicationOutcome.Conflict -> PublicationResult.Conflicted(entry.offset, outcome.conflicts)
            is PublicationOutcome.Invalid -> PublicationResult.Invalid(outcome.faults)
        }
    }

    private fun accepted(entry: HistoryEntry): PublicationResult {
        LOG.info("config: publication {} of {} accepted at {}", entry.publication.id, entry.publication.author, entry.offset)
        val untilMs = monotonicMs() + waits.inForceMs
        while (true) {
            val (inForce, others) = control.ask { fleet.appliedOffsets() }.get().partition { (it.offset ?: -1) >= entry.offset }
            if (others.isEmpty() || monotonicMs() >= untilMs) {
                return PublicationResult.Accepted(entry.offset, inForce.map { it.id.value }, others.map { it.id.value })
            }
            TimeUnit.MILLISECONDS.sleep(waits.pollMs)
        }
    }

    // Versions only grow, so an entry that is already beyond the expected version conflicts in every later fold too.
    private fun certainConflicts(publication: Publication): List<EntryConflict> {
        val entries = store.state.entries
        return publication.changes.mapNotNull { change ->
            val entry = entries[EntryKey(change.name, change.scope)] ?: return@mapNotNull null
            if (entry.version <= change.expectedVersion) return@mapNotNull null
            EntryConflict(change.name, change.scope, change.expectedVersion, entry.version, entry.author, entry.publicationId)
        }
    }

    // The log may drop the record of a claim after its retention, and the claim window must end well before.
    private fun claimWindowFaults(publication: Publication): List<ConfigFault> =
        publication.changes.mapIndexedNotNull { i, change ->
            val windowMs = (change.value as? JsonPrimitive)?.longOrNull
            if (change.name != ConfigField.CLAIM_WINDOW_MS.fieldName || windowMs == null || windowMs <= logRetentionMs / 2) {
                null
            } else {
                ConfigFault(
                    "changes[$i].value",
                    "$windowMs",
                    "at most half of the log's retention, ${logRetentionMs / 2} (milliseconds)",
                )
            }
        }

    private companion object {
        val LOG = LoggerFactory.getLogger(PublicationService::class.java)
        const val MAX_APPENDS = 3
        const val RETRY_AFTER_MS = 1_000L
    }
}
