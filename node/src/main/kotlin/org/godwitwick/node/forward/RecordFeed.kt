package org.godwitwick.node.forward

import com.github.michaelbull.result.Result

/** A record of the store; a null [value] removes [key]. */
class StoredRecord(val key: String, val value: ByteArray?)

/**
 * Records in order.
 *
 * @property nextOffset offset after the last record.
 * @property era number of times that the store has returned from an older copy. Offsets of different eras are unrelated.
 * @property endOffset offset after the last record that the store had. There are more records than the page has if it is greater than
 *   [nextOffset].
 */
class StoredPage(val records: List<StoredRecord>, val nextOffset: Long, val era: Long = 0, val endOffset: Long = nextOffset)

/** Place in a feed of the store: offsets count anew in each [era]. */
data class FeedPosition(val era: Long, val offset: Long)

/** Why a feed could not be read. */
sealed interface FeedFailure {
    /** The cause in one sentence. */
    val message: String

    /** The store no longer has the records from the requested offset on; the newest record of each key must be read again. */
    data class HistoryDropped(override val message: String) : FeedFailure

    /** The store did not answer or refused the read. */
    data class Unreachable(override val message: String) : FeedFailure

    /** No answer came in time on an established connection: either the store or only this connection is silent. */
    data class Silent(override val message: String) : FeedFailure
}

/** Records of one kind in the platform's store. Implementations do not retry. */
interface RecordFeed<T> {
    /** Reads the newest record of each key. Later changes are read from the page's [StoredPage.nextOffset] on. */
    fun newest(): Result<StoredPage, FeedFailure>

    /**
     * Reads the records from [fromOffset] on, or the first of them; if there are none, waits up to [waitMs] for one. Fails if there is
     * no answer within [answerMs] after that wait.
     */
    fun changes(fromOffset: Long, waitMs: Long, answerMs: Long): Result<StoredPage, FeedFailure>

    /** Decodes [records] to pairs of key and value, in order; the value is null if the record is a removal or malformed. */
    fun decode(records: List<StoredRecord>): List<Pair<String, T?>>
}
