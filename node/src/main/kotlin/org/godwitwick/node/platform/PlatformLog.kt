package org.godwitwick.node.platform

import com.github.michaelbull.result.Result

/** The platform's append-only log. Implementations must not retry calls; only the caller may. */
interface PlatformLog {
    /** Appends [data] to [stream] and returns the offset of the record. */
    fun append(stream: String, data: ByteArray, timeoutMs: Long): Result<Long, LogFailure>

    /** Reads at most [maxRecords] records, starting at [fromOffset]; waits up to [waitMs] if there are none yet. */
    fun read(stream: String, fromOffset: Long, maxRecords: Int, waitMs: Long): Result<LogPage, LogFailure>
}

/**
 * A page of a log stream.
 *
 * @property earliestOffset offset of the oldest retained record.
 * @property endOffset offset of the next record to be appended.
 */
data class LogPage(val earliestOffset: Long, val endOffset: Long, val records: List<LogRecord>)

/** One record; [timeMs] is the time of the append on the clock of the log service. */
class LogRecord(val offset: Long, val timeMs: Long, val data: ByteArray)

/** Reason why a call of the log failed. */
sealed interface LogFailure {
    val message: String

    /**
     * The log refused the call or could not be reached, so nothing was appended; [retryAfterMs] is null if the log gave no hint.
     */
    data class NotApplied(override val message: String, val retryAfterMs: Long? = null) : LogFailure

    /** The call may have been sent but its result is unknown: the record may be appended now, later or not at all. */
    data class Unknown(override val message: String) : LogFailure
}
