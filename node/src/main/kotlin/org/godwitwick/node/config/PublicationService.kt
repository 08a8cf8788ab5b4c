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

/** Status of the other instances as far as publications need it. Accessed on the control thread only. */
interface FleetStatus {
    /** Counts of the status reports from each region. */
    fun regions(): List<RegionReports>

    /** The offset that each instance has applied, as far as known. */
    fun appliedOffsets(): List<AppliedOffset>
}

/**
 * Timeouts of one publication.
 *
 * @property appendMs timeout of one append.
 * @property outcomeMs maximum time to wait until the publication has been read back from the log.
 * @property inForceMs maximum time to wait until all instances have applied an accepted publication.
 * @property pollMs interval between the checks whether all instances have applied it.
 */
data class PublicationTimeouts(
    val appendMs: Long = 3_000,
    val outcomeMs: Long = 3_000,
    val inForceMs: Long = 4_000,
    val pollMs: Long = 50,
)

/**
 * Appends publications to the log and determines their outcome. Calls block their thread.
 *
 * @property readLog makes this instance read the log until the returned handle is closed.
 * @property logRetentionMs time for which the log retains a record.
 */
class PublicationService(
    private val log: PlatformLog,
    private val store: ConfigStore,
    private val control: ControlThread,
    private val fleet: FleetStatus,
    private val readLog: () -> AutoCloseable,
    private val logRetentionMs: Long,
    private val timeouts: PublicationTimeouts = PublicationTimeouts(),
    private val monotonicMs: () -> Long = { System.nanoTime() / 1_000_000 },
) {
    /** Publishes [publication] and returns what is known about its outcome. */
    fun publish(publication: Publication): PublicationResult {
        val faults = faultsOf(publication) + claimWindowFaults(publication)
        if (faults.isNotEmpty()) return PublicationResult.Invalid(faults)
        store.state.outcomeOf(publication.id)?.let { return resultOf(it, publication) }
        val conflicts = certainConflicts(publication)
        if (conflicts.isNotEmpty()) return PublicationResult.Conflicted(null, conflicts)
        if (!control.ask { mayAppendChange(fleet.regions()) }.get()) {
            return PublicationResult.NotAppended(
                "no region has a majority of instances with a confirmed configuration",
                RETRY_AFTER_MS,
            )
        }
        return readLog().use { append(publication) }
    }

    private fun append(publication: Publication): PublicationResult {
        val record = encodeConfigRecord(ConfigRecord.Published(publication))
        var unknownCause: String? = null
        repeat(MAX_APPENDS) {
            val outcome = appendOnce(record).fold(
                { offset ->
                    val entry = awaitOutcome(publication.id)
                        ?: return PublicationResult.Undecided(
                            offset,
                            "the log accepted the publication, but it was not read back in time",
                        )
                    return resultOf(entry, publication)
                },
                { it },
            )
            if (outcome is LogFailure.NotApplied &&
                unknownCause == null
            ) {
                return PublicationResult.NotAppended(outcome.message, outcome.retryMs())
            }
            if (outcome is LogFailure.Unknown) unknownCause = outcome.message
            // A lost answer does not show whether the record was appended. If it cannot be read back, another append is
            // harmless, because a duplicate id is ignored when records are applied.
            awaitOutcome(publication.id)?.let { return resultOf(it, publication) }
        }
        return PublicationResult.Unknown("the log did not answer: $unknownCause")
    }

    private fun appendOnce(record: ByteArray): Result<Long, LogFailure> = log.append(CONFIG_STREAM, record, timeouts.appendMs)

    private fun LogFailure.NotApplied.retryMs() = retryAfterMs ?: RETRY_AFTER_MS

    private fun awaitOutcome(id: String): HistoryEntry? {
        val future = control.ask { store.outcomeOf(id) }.get()
        return try {
            future.get(timeouts.outcomeMs, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            control.post { store.stopAwaiting(id, future) }
            null
        }
    }

    private fun resultOf(entry: HistoryEntry, publication: Publication): PublicationResult {
        if (entry.publication != publication) {
            val fault =
                ConfigFault(
                    "id",
                    publication.id,
                    "an id that no other publication has; ${entry.publication.author} has used this one",
                )
            return PublicationResult.Invalid(listOf(fault))
        }
        return when (val outcome = entry.outcome) {
            PublicationOutcome.Accepted -> awaitInForce(entry)
            is PublicationOutcome.Conflict -> PublicationResult.Conflicted(entry.offset, outcome.conflicts)
            is PublicationOutcome.Invalid -> PublicationResult.Invalid(outcome.faults)
        }
    }

    private fun awaitInForce(entry: HistoryEntry): PublicationResult {
        LOG.info(
            "config: publication {} by {} accepted at offset {}",
            entry.publication.id,
            entry.publication.author,
            entry.offset,
        )
        val untilMs = monotonicMs() + timeouts.inForceMs
        while (true) {
            val (inForce, others) = control.ask { fleet.appliedOffsets() }.get().partition { (it.offset ?: -1) >= entry.offset }
            if (others.isEmpty() || monotonicMs() >= untilMs) {
                return PublicationResult.Accepted(entry.offset, inForce.map { it.id.value }, others.map { it.id.value })
            }
            TimeUnit.MILLISECONDS.sleep(timeouts.pollMs)
        }
    }

    // Versions never decrease, so an entry that is already beyond the expected version conflicts in every later state too.
    private fun certainConflicts(publication: Publication): List<EntryConflict> {
        val entries = store.state.entries
        return publication.changes.mapNotNull { change ->
            val entry = entries[EntryKey(change.name, change.scope)] ?: return@mapNotNull null
            if (entry.version <= change.expectedVersion) return@mapNotNull null
            EntryConflict(change.name, change.scope, change.expectedVersion, entry.version, entry.author, entry.publicationId)
        }
    }

    // The log may drop the record of a claim after its retention time, and the claim window must end well before that.
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
