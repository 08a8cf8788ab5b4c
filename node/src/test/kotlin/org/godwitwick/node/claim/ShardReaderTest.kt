package org.godwitwick.node.claim

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.godwitwick.core.claim.ClaimLimits
import org.godwitwick.core.claim.ClaimRecordCodec
import org.godwitwick.node.platform.LogFailure
import org.godwitwick.node.platform.LogPage
import org.godwitwick.node.platform.LogRecord
import org.godwitwick.node.platform.PlatformLog
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class ShardReaderTest {
    /** Guards against a new owner that must read days of records before it can decide a claim. */
    @Test
    fun `of a long stream only the claim window is read`() {
        val log = LongStream(records = 1_000_000)
        val reader = ShardReader("claims-x-1", log, { ClaimLimits(windowMs = 900_000) }, onGap = {})
        expectThat(reader.readToEnd().isOk).isEqualTo(true)
        expectThat(reader.index.nextOffset).isEqualTo(1_000_000L)
        expectThat(log.recordsRead).isGreaterThan(960).isLessThan(3_000)
    }

    /** A stream with one empty record per second. */
    private class LongStream(private val records: Long) : PlatformLog {
        var recordsRead = 0

        override fun append(stream: String, data: ByteArray, timeoutMs: Long): Result<Long, LogFailure> = error("not used")

        override fun read(stream: String, fromOffset: Long, maxRecords: Int, waitMs: Long): Result<LogPage, LogFailure> {
            val offsets = fromOffset until minOf(fromOffset + maxRecords, records)
            recordsRead += offsets.count()
            return Ok(LogPage(0, records, offsets.map { LogRecord(it, it * 1_000, EMPTY) }))
        }
    }

    private companion object {
        val EMPTY = ClaimRecordCodec.encode(emptyList())
    }
}
