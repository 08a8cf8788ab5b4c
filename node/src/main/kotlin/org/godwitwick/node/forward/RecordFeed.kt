package org.godwitwick.node.forward

import com.github.michaelbull.result.Result
import org.godwitwick.core.forward.ClockReading

/**
 * The newest record of each key.
 *
 * @property items decoded values by key; null where the value can't be read.
 * @property nextOffset offset from which later changes are read.
 */
data class FeedSnapshot<T>(val items: Map<String, T?>, val nextOffset: Long)

/** Changes in order; a null value is a removal or can't be read. */
data class FeedPage<T>(val items: List<Pair<String, T?>>, val nextOffset: Long)

/** Why a feed could not be read. */
sealed interface FeedFailure {
    /** One sentence about the cause. */
    val message: String

    /** The store no longer has the records from the asked offset on; the snapshot has to be read again. */
    data class HistoryDropped(override val message: String) : FeedFailure

    /** The store did not answer, or refused. */
    data class Unreachable(override val message: String) : FeedFailure
}

/** Records of one kind in the platform's store, decoded. Implementations never retry by themselves. */
interface RecordFeed<T> {
    /** Reads the newest record of each key. */
    fun newest(): Result<FeedSnapshot<T>, FeedFailure>

    /** Reads the records from [fromOffset] on; with none there, waits for one for up to [waitMs]. */
    fun changes(fromOffset: Long, waitMs: Long): Result<FeedPage<T>, FeedFailure>
}

/** Is told what a [FeedFollower] reads, on the follower's thread. */
interface FeedListener<T> {
    /** The newest records, known to be complete at [provenAt]. */
    fun onSnapshot(items: Map<String, T?>, provenAt: ClockReading)

    /** Changes in order, also none, known to be all at [provenAt]. */
    fun onChanges(items: List<Pair<String, T?>>, provenAt: ClockReading)

    /** The store answers again after an outage in which entries may have lapsed. Comes before what was read. */
    fun onRegained()
}
