package org.godwitwick.core.forward

import org.godwitwick.core.model.InstanceId

/** Where an instance reads a feed next. */
sealed interface FeedSource {
    /** The platform's store. */
    data object Store : FeedSource

    /**
     * A reader among the instances.
     *
     * @property mayHold whether it may wait for news before it answers; a reader that has not proved itself must answer at once.
     */
    data class Reader(val id: InstanceId, val mayHold: Boolean) : FeedSource

    /** Nothing may be asked before [untilMs] of the steady clock. */
    data class None(val untilMs: Long) : FeedSource
}

/**
 * Chooses where one instance reads a feed. Answers readers that are dead, frozen or cut off, and a store that refuses some instances or
 * all: a follower leaves a reader that doesn't answer or whose knowledge is old, and reads the store itself when no reader is left, but
 * seldom, so that a fleet that has lost its readers doesn't load the store. A reader that the store refuses asks the other readers.
 *
 * Not thread safe.
 */
class FeedSourceChoice(private val self: InstanceId, private val dataCentre: String) {
    private val avoidedUntilMs = HashMap<InstanceId, Long>()
    private var proven: InstanceId? = null
    private var storeFromMs = Long.MIN_VALUE

    /** The source to read at [nowMs] under [plan]. */
    fun next(plan: ReaderPlan, nowMs: Long): FeedSource {
        if (plan.isReader(self) && nowMs >= storeFromMs) return FeedSource.Store
        val sources = plan.sourcesOf(self, dataCentre)
        val usable = sources.firstOrNull { (avoidedUntilMs[it] ?: Long.MIN_VALUE) <= nowMs }
        if (usable != null) return FeedSource.Reader(usable, mayHold = usable == proven)
        if (nowMs >= storeFromMs) return FeedSource.Store
        val readersFromMs = sources.mapNotNull { avoidedUntilMs[it] }.minOrNull() ?: Long.MAX_VALUE
        return FeedSource.None(minOf(storeFromMs, readersFromMs))
    }

    /** Notes that [reader] answered with knowledge that is young enough. */
    fun onFresh(reader: InstanceId) {
        proven = reader
        avoidedUntilMs.remove(reader)
    }

    /** Notes at [nowMs] that the knowledge of [reader] is old: it has lost the store. */
    fun onOld(reader: InstanceId, nowMs: Long) = avoid(reader, nowMs + OLD_AVOID_MS)

    /** Notes at [nowMs] that [reader] did not answer. */
    fun onSilent(reader: InstanceId, nowMs: Long) = avoid(reader, nowMs + SILENT_AVOID_MS)

    /** Notes that the store answered this instance. */
    fun onStoreAnswered() {
        storeFromMs = Long.MIN_VALUE
    }

    /**
     * Notes at [nowMs] that the store did not answer this instance, or refused.
     *
     * @param draw a number from 0 up to but excluding 1 that spreads the next calls of the instances.
     */
    fun onStoreFailed(plan: ReaderPlan, nowMs: Long, draw: Double) {
        val pauseMs = if (plan.isReader(self)) READER_PAUSE_MS else FOLLOWER_PAUSE_MS
        storeFromMs = nowMs + (pauseMs * (1 + draw)).toLong()
    }

    private fun avoid(reader: InstanceId, untilMs: Long) {
        avoidedUntilMs[reader] = untilMs
        if (proven == reader) proven = null
    }

    private companion object {
        /** A reader that has the store again is soon asked anew. */
        const val OLD_AVOID_MS = 400L

        /** Each question to a lost reader takes its whole time limit. */
        const val SILENT_AVOID_MS = 3_000L

        /** Readers find out soon that the store is back; there are few of them. */
        const val READER_PAUSE_MS = 150L

        /** The many followers load a store that is in trouble at most once in this time each. */
        const val FOLLOWER_PAUSE_MS = 1_000L
    }
}
