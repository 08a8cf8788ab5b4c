package org.godwitwick.core.forward

import org.godwitwick.core.model.InstanceId

/** Source from which an instance reads a feed next. */
sealed interface FeedSource {
    /** The platform's store. */
    data object Store : FeedSource

    /**
     * Another instance that reads the store.
     *
     * @property mayLongPoll whether the reader may delay its answer until there are new records; a reader that has not yet given
     *   a fresh answer must answer immediately.
     * @property isForStandby whether this instance is a reader that relies on the reads of [id] and would otherwise read the store.
     */
    data class Reader(val id: InstanceId, val mayLongPoll: Boolean, val isForStandby: Boolean = false) : FeedSource

    /** No source may be read before [untilMs] on the steady clock. */
    data class None(val untilMs: Long) : FeedSource
}

/**
 * Selects the source from which one instance reads a feed.
 *
 * Handles readers that have crashed, are suspended or are cut off, and a store that refuses some or all instances. A follower
 * avoids a reader that does not answer or returns stale data for a while. If no reader is left, it reads the store itself, but
 * with long pauses after failures, so that a fleet without readers does not overload the store. A standby reader asks the readers
 * ahead of it, and reads the store when none of them is usable. A reader that the store refuses asks the other readers.
 *
 * Not thread safe.
 */
class FeedSourceSelector(private val self: InstanceId, private val dataCentre: String) {
    private val avoidedUntilMs = HashMap<InstanceId, Long>()
    private var verifiedReader: InstanceId? = null
    private var storeRetryAtMs = Long.MIN_VALUE

    /** Returns the source to read at [nowMs] under [plan]. */
    fun next(plan: ReaderPlan, nowMs: Long): FeedSource {
        plan.activeReadersFor(self).firstOrNull { isUsable(it, nowMs) }
            ?.let { return FeedSource.Reader(it, mayLongPoll = it == verifiedReader, isForStandby = true) }
        if (plan.isReader(self) && nowMs >= storeRetryAtMs) return FeedSource.Store
        val sources = plan.sourcesOf(self, dataCentre)
        val usable = sources.firstOrNull { isUsable(it, nowMs) }
        if (usable != null) return FeedSource.Reader(usable, mayLongPoll = usable == verifiedReader)
        if (nowMs >= storeRetryAtMs) return FeedSource.Store
        val readerRetryAtMs = sources.mapNotNull { avoidedUntilMs[it] }.minOrNull() ?: Long.MAX_VALUE
        return FeedSource.None(minOf(storeRetryAtMs, readerRetryAtMs))
    }

    private fun isUsable(reader: InstanceId, nowMs: Long) = (avoidedUntilMs[reader] ?: Long.MIN_VALUE) <= nowMs

    /** Records that [reader] returned data that is recent enough. */
    fun onFreshAnswer(reader: InstanceId) {
        verifiedReader = reader
        avoidedUntilMs.remove(reader)
    }

    /** Records at [nowMs] that [reader] returned stale data, that is, it has lost its connection to the store. */
    fun onStaleAnswer(reader: InstanceId, nowMs: Long) = avoid(reader, nowMs + STALE_READER_AVOID_MS)

    /** Records at [nowMs] that [reader] did not answer. */
    fun onNoAnswer(reader: InstanceId, nowMs: Long) = avoid(reader, nowMs + UNRESPONSIVE_READER_AVOID_MS)

    /** Records that the store answered this instance. */
    fun onStoreAnswered() {
        storeRetryAtMs = Long.MIN_VALUE
    }

    /**
     * Records at [nowMs] that the store did not answer this instance or refused it.
     *
     * @param draw random number in [0, 1) that spreads the retries of the instances.
     */
    fun onStoreFailed(plan: ReaderPlan, nowMs: Long, draw: Double) {
        val pauseMs = if (plan.isReader(self)) READER_PAUSE_MS else FOLLOWER_PAUSE_MS
        storeRetryAtMs = nowMs + (pauseMs * (1 + draw)).toLong()
    }

    private fun avoid(reader: InstanceId, untilMs: Long) {
        avoidedUntilMs[reader] = untilMs
        if (verifiedReader == reader) verifiedReader = null
    }

    private companion object {
        /** Short, because a reader that has regained the store should be asked again soon. */
        const val STALE_READER_AVOID_MS = 400L

        /** Long, because each request to an unreachable reader takes its full timeout. */
        const val UNRESPONSIVE_READER_AVOID_MS = 3_000L

        /** Short, so that readers soon notice that the store has recovered; there are few of them. */
        const val READER_PAUSE_MS = 150L

        /** Minimum time between two calls of one follower to a failing store; there are many followers. */
        const val FOLLOWER_PAUSE_MS = 1_000L
    }
}
