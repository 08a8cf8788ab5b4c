package org.godwitwick.node.platform

import com.github.michaelbull.result.Result

/** The platform's append-only log. Implementations never retry by themselves. */
interface PlatformLog {
    /** Appends [data] to [stream] and returns the record's offset. */
    fun append(stream: String, data: ByteArray, timeoutMs: Long): Result<Long, LogFailure>

    /** Reads records from [fromOffset] on, waiting up to [waitMs] when there are none yet. */
    fun read(stream: String, fromOffset: Long, maxRecords: Int, waitMs: Long): Result<LogPage, LogFailure>
}

/**
 * A page of a log stream.
 *
 * @property earliestOffset first offset that is still retained.
 * @property endOffset offset that the next record will get.
 */
data class LogPage(val earliestOffset: Long, val endOffset: Long, val records: List<LogRecord>)

/** One record; [timeMs] is the log service's clock at the append. */
class LogRecord(val offset: Long, val timeMs: Long, val data: ByteArray)

/** Why a log call failed. */
sealed interface LogFailure {
    val message: String

    /** The log refused the call or was not reached: nothing was appended. */
    data class NotDone(override val message: String, val retryAfterMs: Long? = null) : LogFailure

    /** The call was sent and no answer came: the record may or may not have been appended, now or later. */
    data class Unknown(override val message: String) : LogFailure
}
