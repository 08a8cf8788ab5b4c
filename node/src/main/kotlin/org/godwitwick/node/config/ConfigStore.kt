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
import org.godwitwick.core.membership.PAUSE_THRESHOLD_MS
import org.godwitwick.core.membership.PauseDetector
import org.godwitwick.node.peer.ConfigPull
import org.godwitwick.node.peer.ConfigPullAnswer
import org.godwitwick.node.peer.ConfigStatus
import org.godwitwick.node.peer.WireRecord
import org.godwitwick.node.platform.LogPage
import java.util.concurrent.CompletableFuture

/**
 * The configuration of one instance and what confirms it. Changed on the control thread only; [view], [state] and [freshness] are read from
 * any thread. All times are of the instance's monotonic clock.
 */
class ConfigStore(private val graceMs: Long, startMs: Long) {
    private class EndStatement(val endOffset: Long, val asOfMs: Long)

    private var fold = ConfigFold()
    private var end: EndStatement? = null
    private val window = ArrayDeque<ConfigLogRecord>()
    private var windowFrom = 0L
    private var windowBytes = 0
    private val pause = PauseDetector(startMs)
    private val awaited = HashMap<String, MutableList<CompletableFuture<HistoryEntry>>>()

    @Volatile
    private var confirmedAtMs: Long? = null

    @Volatile
    private var logDownAtMs: Long? = null

    @Volatile
    private var lastTickMs = startMs

    /** The folded state. */
    @Volatile
    var state: ConfigState = fold.state
        private set

    /** The configuration in force. */
    @Volatile
    var view: ConfigView = PublishedConfig(fold.state)
        private set

    /** Offset from which the log is read next. */
    val nextLogOffset: Long get() = fold.nextOffset

    /** What this instance states to its peers. */
    val standing: ConfigStatus get() = ConfigStatus(state.appliedOffset, confirmedAtMs)

    /**
     * How sure this instance is of its configuration at [nowMs]; a control thread that didn't run for [PAUSE_THRESHOLD_MS] makes it
     * unsure.
     */
    fun freshness(nowMs: Long): Freshness {
        if (nowMs - lastTickMs > PAUSE_THRESHOLD_MS) return Freshness.CutOff(refusesWork = true)
        return freshnessAt(nowMs, confirmedAtMs, logDownAtMs, graceMs)
    }

    /** Whether the newest statement about the log's end is older than [ageMs]. */
    fun isStale(nowMs: Long, ageMs: Long): Boolean = end.let { it == null || nowMs - it.asOfMs > ageMs }

    /** Takes a page that was read from [requestedOffset]; [askedAtMs] is when the read began. Returns whether the state advanced. */
    fun takeLogPage(page: LogPage, requestedOffset: Long, askedAtMs: Long): Boolean {
        val from = maxOf(requestedOffset, page.earliestOffset)
        val records = page.records.map { ConfigLogRecord(it.offset, it.timeMs, it.data) }
        val advanced =
            advance(fold.apply(ConfigPage(from, records.lastOrNull()?.let { it.offset + 1 } ?: from, records)), records)
        state(EndStatement(page.endOffset, askedAtMs))
        return advanced
    }

    /** Takes a peer's answer to a pull that was sent at [askedAtMs]. Returns whether the state advanced. */
    fun takePeerAnswer(answer: ConfigPullAnswer, fromOffset: Long, askedAtMs: Long): Boolean {
        val records = answer.records.map { ConfigLogRecord(it.offset, it.timeMs, it.data) }
        val snapshot = answer.snapshot?.let { (decodeConfigRecord(it) as? ConfigRecord.Snapshot)?.snapshot }
        val next = if (snapshot != null) fold.adopt(snapshot) else fold.apply(ConfigPage(fromOffset, answer.nextOffset, records))
        val advanced = advance(next, records)
        // The age counts from the time of asking, so that time on the way makes the statement older and never younger.
        if (answer.logEnd >= 0) state(EndStatement(answer.logEnd, askedAtMs - answer.logEndAgeMs.coerceAtLeast(0)))
        return advanced
    }

    /** The pull that asks for what this instance lacks. While it waits for a snapshot, it asks from its state on. */
    fun pull(): ConfigPull = ConfigPull(fold.state.appliedOffset + 1)

    /** Answers a peer's pull at [nowMs]. */
    fun answer(pull: ConfigPull, nowMs: Long): ConfigPullAnswer {
        val statement = end
        val logEnd = statement?.endOffset ?: -1
        val ageMs = statement?.let { nowMs - it.asOfMs } ?: 0
        val next = state.appliedOffset + 1
        if (pull.fromOffset >= next) return ConfigPullAnswer(next, emptyList(), null, logEnd, ageMs)
        if (pull.fromOffset < windowFrom) {
            val snapshot = encodeConfigRecord(ConfigRecord.Snapshot(state.toSnapshot()))
            return ConfigPullAnswer(next, emptyList(), snapshot, logEnd, ageMs)
        }
        val records = window.filter { it.offset >= pull.fromOffset }.map { WireRecord(it.offset, it.timeMs, it.data) }
        return ConfigPullAnswer(next, records, null, logEnd, ageMs)
    }

    /** Checks for a log outage and for a pause of this process; returns whether it was paused. */
    fun tick(nowMs: Long, regions: List<RegionReports>): Boolean {
        val wasPaused = pause.tick(nowMs)
        if (wasPaused) {
            confirmedAtMs = null
            logDownAtMs = null
            end = null
        } else if (isLogDown(regions)) {
            logDownAtMs = nowMs
        }
        lastTickMs = nowMs
        return wasPaused
    }

    /** A future of the outcome of the publication [id]. */
    fun outcomeOf(id: String): CompletableFuture<HistoryEntry> {
        state.outcomeOf(id)?.let { return CompletableFuture.completedFuture(it) }
        return CompletableFuture<HistoryEntry>().also { awaited.getOrPut(id) { ArrayList() }.add(it) }
    }

    /** Drops futures of publication [id] that nobody waits for any more. */
    fun forget(id: String, future: CompletableFuture<HistoryEntry>) {
        val futures = awaited[id] ?: return
        futures.remove(future)
        if (futures.isEmpty()) awaited.remove(id)
    }

    private fun advance(next: ConfigFold, records: List<ConfigLogRecord>): Boolean {
        val before = fold.state.appliedOffset
        fold = next
        if (next.state.appliedOffset <= before) return false
        remember(records, before)
        state = next.state
        view = PublishedConfig(next.state)
        awaited.keys.mapNotNull { state.outcomeOf(it) }.forEach { entry ->
            awaited.remove(entry.publication.id)?.forEach { it.complete(entry) }
        }
        return true
    }

    // The window holds consecutive records up to the applied one, so that a peer's pull is answered without a gap.
    private fun remember(records: List<ConfigLogRecord>, before: Long) {
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

    private fun state(statement: EndStatement) {
        val known = end
        if (known == null || statement.asOfMs >= known.asOfMs) end = statement
        if (statement.endOffset <= state.appliedOffset + 1 && !fold.hasGap) {
            confirmedAtMs = maxOf(confirmedAtMs ?: Long.MIN_VALUE, statement.asOfMs)
        }
    }

    private companion object {
        const val MAX_WINDOW_BYTES = 1024 * 1024
        const val MAX_WINDOW_RECORDS = 600
    }
}
