package org.godwitwick.node.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** An in-memory log that can simulate outages, lost answers and retention. */
internal class MemoryLog : PlatformLog {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val streams = HashMap<String, MutableList<LogRecord>>()
    private var earliest = 0L

    @Volatile
    var isDown = false

    /** Faults of the next appends, one each, in order; appends beyond them succeed. */
    val nextAppendFaults = ArrayDeque<AppendFault>()

    enum class AppendFault { APPENDED_ANSWER_LOST, NOT_APPENDED_ANSWER_LOST, REFUSED }

    override fun append(stream: String, data: ByteArray, timeoutMs: Long): Result<Long, LogFailure> = lock.withLock {
        if (isDown) return Err(LogFailure.NotApplied("log is down"))
        when (nextAppendFaults.removeFirstOrNull()) {
            AppendFault.REFUSED -> Err(LogFailure.NotApplied("refused"))
            AppendFault.NOT_APPENDED_ANSWER_LOST -> Err(LogFailure.Unknown("answer lost"))
            AppendFault.APPENDED_ANSWER_LOST -> Err(LogFailure.Unknown("answer lost")).also { add(stream, data) }
            null -> Ok(add(stream, data))
        }
    }

    override fun read(stream: String, fromOffset: Long, maxRecords: Int, waitMs: Long): Result<LogPage, LogFailure> =
        lock.withLock {
            if (isDown) return Err(LogFailure.NotApplied("log is down"))
            val records = streams.getOrPut(stream) { ArrayList() }
            if (fromOffset >= records.size) changed.await(waitMs, TimeUnit.MILLISECONDS)
            if (isDown) return Err(LogFailure.NotApplied("log is down"))
            Ok(LogPage(earliest, records.size.toLong(), records.drop(maxOf(fromOffset, earliest).toInt()).take(maxRecords)))
        }

    /** Hides the records before [offset] from reads, as expiry after the retention time does. */
    fun expireBefore(offset: Long) = lock.withLock { earliest = offset }

    /** All records ever appended to [stream], including expired ones. */
    fun records(stream: String): List<LogRecord> = lock.withLock { streams[stream].orEmpty().toList() }

    private fun add(stream: String, data: ByteArray): Long {
        val records = streams.getOrPut(stream) { ArrayList() }
        records.add(LogRecord(records.size.toLong(), records.size * 1_000L, data))
        changed.signalAll()
        return records.size - 1L
    }
}
