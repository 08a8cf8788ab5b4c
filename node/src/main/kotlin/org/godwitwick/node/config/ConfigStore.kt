package org.godwitwick.node.config

import org.godwitwick.core.config.ConfigFold
import org.godwitwick.core.config.ConfigLogRecord
import org.godwitwick.core.config.ConfigPage
import org.godwitwick.core.config.ConfigRecord
import org.godwitwick.core.config.ConfigState
import org.godwitwick.core.config.ConfigView
import org.godwitwick.core.config.Freshness
import org.godwitwick.core.config.HistoryEntry
import org.godwitwick.core.config.PublishedConfig
import org.godwitwick.core.config.RegionReports
import org.godwitwick.core.config.decodeConfigRecord
import org.godwitwick.core.config.encodeConfigRecord
import org.godwitwick.core.config.freshnessAt
import org.godwitwick.core.config.isLogDown
import org.godwitwick.core.config.isSnapshotDue
import org.godwitwick.core.config.isUnreadableSnapshot
import org.godwitwick.core.membership.PAUSE_THRESHOLD_MS
import org.godwitwick.core.membership.PauseDetector
import org.godwitwick.node.peer.ConfigPull
import org.godwitwick.node.peer.ConfigPullAnswer
import org.godwitwick.node.peer.ConfigStatus
import org.godwitwick.node.peer.WireRecord
import org.godwitwick.node.platform.LogPage
import java.util.concurrent.CompletableFuture

/**
 * Configuration of one instance and the observations that confirm it as the newest. Modified on the control thread only; [view],
 * [state] and [freshness] may be read from any thread. All times are in milliseconds of the instance's monotonic clock.
 */
class ConfigStore(private val graceMs: Long, startMs: Long) {
    // The log ended at endOffset at the time asOfMs.
    private class LogEndObservation(val endOffset: Long, val asOfMs: Long)

    private var fold = ConfigFold()
    private var latestLogEnd: LogEndObservation? = null
    private val window = ArrayDeque<ConfigLogRecord>()
    private var windowFrom = 0L
    private var windowBytes = 0
    private val pause = PauseDetector(startMs)
    private val pendingOutcomes = HashMap<String, MutableList<CompletableFuture<HistoryEntry>>>()

    @Volatile
    private var confirmedAtMs: Long? = null

    @Volatile
    private var logDownAtMs: Long? = null

    @Volatile
    private var lastTickMs = startMs

    /** Offset of the last snapshot that this version cannot read, or null if the log holds none. */
    var unreadableSnapshotOffset: Long? = null
        private set

    /** State after the applied records. */
    @Volatile
    var state: ConfigState = fold.state
        private set

    /** The configuration in force. */
    @Volatile
    var view: ConfigView = PublishedConfig(fold.state)
        private set

    /** Whether records are missing that only a snapshot can replace. */
    val awaitsSnapshot: Boolean get() = fold.hasGap

    /** Offset from which the log is read next. */
    val nextLogOffset: Long get() = fold.nextOffset

    /** Status that this instance reports to its peers. */
    val status: ConfigStatus get() = ConfigStatus(state.appliedOffset, confirmedAtMs)

    /**
     * Whether this instance can rely on its configuration being the newest at [nowMs]. It cannot if the control thread has not
     * called [tick] for more than [PAUSE_THRESHOLD_MS].
     */
    fun freshness(nowMs: Long): Freshness {
        if (nowMs - lastTickMs > PAUSE_THRESHOLD_MS) return Freshness.CutOff(refusesWork = true)
        return freshnessAt(nowMs, confirmedAtMs, logDownAtMs, graceMs)
    }

    /** Whether the latest observation of the log's end is older than [ageMs], or there is none. */
    fun isStale(nowMs: Long, ageMs: Long): Boolean = latestLogEnd.let { it == null || nowMs - it.asOfMs > ageMs }

    /** Applies a page that was read from [requestedOffset] by a read begun at [askedAtMs]. Returns whether the state advanced. */
    fun applyLogPage(page: LogPage, requestedOffset: Long, askedAtMs: Long): Boolean {
        val from = maxOf(requestedOffset, page.earliestOffset)
        val records = page.records.map { ConfigLogRecord(it.offset, it.timeMs, it.data) }
        observeUnreadableSnapshots(page.earliestOffset, records)
        val advanced =
            advance(fold.apply(ConfigPage(from, records.lastOrNull()?.let { it.offset + 1 } ?: from, records)), records)
        observeLogEnd(LogEndObservation(page.endOffset, askedAtMs))
        return advanced
    }

    private fun observeUnreadableSnapshots(earliestOffset: Long, records: List<ConfigLogRecord>) {
        val last = records.lastOrNull { isUnreadableSnapshot(it.data) }?.offset ?: unreadableSnapshotOffset
        unreadableSnapshotOffset = last?.takeIf { it >= earliestOffset }
    }

    /** Applies a peer's answer to a pull from [fromOffset] that was sent at [askedAtMs]. Returns whether the state advanced. */
    fun applyPeerAnswer(answer: ConfigPullAnswer, fromOffset: Long, askedAtMs: Long): Boolean {
        val records = answer.records.map { ConfigLogRecord(it.offset, it.timeMs, it.data) }
        // The records for which such a snapshot stands have not been read.
        if (answer.snapshot?.let(::isUnreadableSnapshot) == true) return false
        val snapshot = answer.snapshot?.let { (decodeConfigRecord(it) as? ConfigRecord.Snapshot)?.snapshot }
        val next = if (snapshot != null) fold.adopt(snapshot) else fold.apply(ConfigPage(fromOffset, answer.nextOffset, records))
        val advanced = advance(next, records)
        // The age counts from the time of the request, so that network delay makes the observation older, never newer.
        if (answer.logEnd >= 0) observeLogEnd(LogEndObservation(answer.logEnd, askedAtMs - answer.logEndAgeMs.coerceAtLeast(0)))
        return advanced
    }

    /** Returns the pull for the records that this instance lacks. It begins after [state], also while a snapshot is awaited. */
    fun pull(): ConfigPull = ConfigPull(fold.state.appliedOffset + 1)

    /** Answers a peer's pull at [nowMs]. */
    fun answer(pull: ConfigPull, nowMs: Long): ConfigPullAnswer {
        val observation = latestLogEnd
        val logEnd = observation?.endOffset ?: -1
        val ageMs = observation?.let { nowMs - it.asOfMs } ?: 0
        val next = state.appliedOffset + 1
        if (pull.fromOffset >= next) return ConfigPullAnswer(next, emptyList(), null, logEnd, ageMs)
        if (pull.fromOffset < windowFrom) {
            val snapshot = encodeConfigRecord(ConfigRecord.Snapshot(state.toSnapshot()))
            return ConfigPullAnswer(next, emptyList(), snapshot, logEnd, ageMs)
        }
        val records = window.filter { it.offset >= pull.fromOffset }.map { WireRecord(it.offset, it.timeMs, it.data) }
        return ConfigPullAnswer(next, records, null, logEnd, ageMs)
    }

    /**
     * Checks for a pause of this process, which invalidates all confirmations, and for a log outage as shown by [regions].
     * Returns whether the process was paused.
     */
    fun tick(nowMs: Long, regions: List<RegionReports>): Boolean {
        val wasPaused = pause.tick(nowMs)
        if (wasPaused) {
            confirmedAtMs = null
            logDownAtMs = null
            latestLogEnd = null
        } else if (isLogDown(regions)) {
            logDownAtMs = nowMs
        }
        lastTickMs = nowMs
        return wasPaused
    }

    /** Whether a snapshot of [state] is to be appended to the log at [wallMs]. One of a later version is not superseded. */
    fun mustWriteSnapshot(wallMs: Long, logRetentionMs: Long): Boolean =
        unreadableSnapshotOffset == null && isSnapshotDue(state, wallMs, logRetentionMs)

    /** Returns a future that completes with the outcome of publication [id]. */
    fun outcomeOf(id: String): CompletableFuture<HistoryEntry> {
        state.outcomeOf(id)?.let { return CompletableFuture.completedFuture(it) }
        return CompletableFuture<HistoryEntry>().also { pendingOutcomes.getOrPut(id) { ArrayList() }.add(it) }
    }

    /** Drops [future] of publication [id], which is no longer awaited. */
    fun stopAwaiting(id: String, future: CompletableFuture<HistoryEntry>) {
        val futures = pendingOutcomes[id] ?: return
        futures.remove(future)
        if (futures.isEmpty()) pendingOutcomes.remove(id)
    }

    private fun advance(next: ConfigFold, records: List<ConfigLogRecord>): Boolean {
        val before = fold.state.appliedOffset
        fold = next
        if (next.state.appliedOffset <= before) return false
        addToWindow(records, before)
        state = next.state
        view = PublishedConfig(next.state)
        pendingOutcomes.keys.mapNotNull { state.outcomeOf(it) }.forEach { entry ->
            pendingOutcomes.remove(entry.publication.id)?.forEach { it.complete(entry) }
        }
        return true
    }

    // The window contains consecutive records up to the applied offset, so that pulls of peers are answered without a gap.
    private fun addToWindow(records: List<ConfigLogRecord>, before: Long) {
        val applied = fold.state.appliedOffset
        val fresh = records.filter { it.offset in before + 1..applied }
        if (fresh.lastOrNull()?.offset != applied || fresh.first().offset != before + 1) {
            window.clear()
            windowBytes = 0
            windowFrom = applied + 1
            return
        }
        fresh.forEach {
            window.addLast(it)
            windowBytes += it.data.size
        }
        while (windowBytes > MAX_WINDOW_BYTES || window.size > MAX_WINDOW_RECORDS) {
            val dropped = window.removeFirst()
            windowBytes -= dropped.data.size
            windowFrom = dropped.offset + 1
        }
    }

    private fun observeLogEnd(observation: LogEndObservation) {
        val known = latestLogEnd
        if (known == null || observation.asOfMs >= known.asOfMs) latestLogEnd = observation
        if (observation.endOffset <= state.appliedOffset + 1 && !fold.hasGap) {
            confirmedAtMs = maxOf(confirmedAtMs ?: Long.MIN_VALUE, observation.asOfMs)
        }
    }

    private companion object {
        const val MAX_WINDOW_BYTES = 1024 * 1024
        const val MAX_WINDOW_RECORDS = 600
    }
}
