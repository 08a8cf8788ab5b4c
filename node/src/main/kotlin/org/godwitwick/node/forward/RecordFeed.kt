package org.godwitwick.node.forward

import com.github.michaelbull.result.Result

/** A record as the store holds it; a null [value] removes [key]. */
class StoredRecord(val key: String, val value: ByteArray?)

/** Records in order and the offset that follows them. */
class StoredPage(val records: List<StoredRecord>, val nextOffset: Long)

/** Why a feed could not be read. */
sealed interface FeedFailure {
    /** One sentence about the cause. */
    val message: String

    /** The store no longer has the records from the asked offset on; the newest of each key have to be read again. */
    data class HistoryDropped(override val message: String) : FeedFailure

    /** The store did not answer, or refused. */
    data class Unreachable(override val message: String) : FeedFailure
}

/** Records of one kind in the platform's store. Implementations never retry by themselves. */
interface RecordFeed<T> {
    /** Reads the newest record of each key; later changes are read from the offset that the page states. */
    fun newest(): Result<StoredPage, FeedFailure>

    /** Reads the records from [fromOffset] on; with none there, waits for one for up to [waitMs]. */
    fun changes(fromOffset: Long, waitMs: Long): Result<StoredPage, FeedFailure>

    /** The values of [records] by their keys, in order; a null value is a removal or can't be read. */
    fun decode(records: List<StoredRecord>): List<Pair<String, T?>>
}
