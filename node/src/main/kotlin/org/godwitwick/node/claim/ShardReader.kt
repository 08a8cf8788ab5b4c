package org.godwitwick.node.claim

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import org.godwitwick.core.claim.ClaimIndex
import org.godwitwick.core.claim.ClaimLimits
import org.godwitwick.core.claim.ClaimRecordCodec
import org.godwitwick.node.platform.LogFailure
import org.godwitwick.node.platform.LogPage
import org.godwitwick.node.platform.PlatformLog
import org.slf4j.LoggerFactory

/** Reads one claim stream and applies its records to [index]. Not thread-safe. */
class ShardReader(
    private val stream: String,
    private val log: PlatformLog,
    private val limits: () -> ClaimLimits,
    private val onGap: () -> Unit,
) {
    /** Index of the records read so far. */
    val index = ClaimIndex(limits())

    /** Whether the stream has been read to its end at least once. */
    var isLoaded = false
        private set

    /** Reads to the current end of the stream. */
    fun readToEnd(): Result<Unit, LogFailure> = readThrough(null)

    /**
     * Reads to the current end of the stream. Fails if the log returns no record before that end, or if [offset] is not null and
     * its record has not been read.
     */
    fun readThrough(offset: Long?): Result<Unit, LogFailure> {
        index.updateLimits(limits())
        if (!isLoaded) skipExpired().getOrElse { return Err(it) }
        while (true) {
            val page = log.read(stream, index.nextOffset, PAGE_RECORDS, 0).getOrElse { return Err(it) }
            if (page.endOffset < index.nextOffset) return Err(LogFailure.Unknown("the end of $stream moved backwards"))
            if (page.earliestOffset > index.nextOffset) skipTo(page.earliestOffset)
            apply(page)
            if (index.nextOffset >= page.endOffset) break
            if (page.records.isEmpty()) return Err(LogFailure.Unknown("$stream returned no record at offset ${index.nextOffset}"))
        }
        isLoaded = true
        if (offset != null &&
            index.nextOffset <= offset
        ) {
            return Err(LogFailure.Unknown("$stream does not contain the record at offset $offset yet"))
        }
        return Ok(Unit)
    }

    private fun apply(page: LogPage) {
        for (record in page.records) {
            if (record.offset < index.nextOffset) continue
            if (record.offset > index.nextOffset) skipTo(record.offset)
            val entries = ClaimRecordCodec.decode(record.data)
            if (entries == null) {
                LOG.error("claim: record {} of stream {} cannot be decoded by this version", record.offset, stream)
                onGap()
            }
            index.apply(record.timeMs, entries)
        }
    }

    private fun skipTo(offset: Long) {
        if (isLoaded) {
            LOG.error(
                "claim: stream {} lost the records from offset {} up to {} before this instance read them",
                stream,
                index.nextOffset,
                offset,
            )
            onGap()
        }
        index.skipTo(offset)
    }

    // The log may retain far more than the claim window, so the first relevant record is found by binary search over the log
    // times.
    private fun skipExpired(): Result<Unit, LogFailure> {
        if (index.nextOffset > 0) return Ok(Unit)
        val first = log.read(stream, 0, 1, 0).getOrElse { return Err(it) }
        if (first.endOffset - first.earliestOffset <= PAGE_RECORDS) return Ok(Unit)
        val last = log.read(stream, first.endOffset - 1, 1, 0).getOrElse { return Err(it) }
        val retainFromMs = (last.records.firstOrNull() ?: return Ok(Unit)).timeMs - limits().retentionMs
        var low = first.earliestOffset
        var high = first.endOffset - 1
        while (high - low > PAGE_RECORDS) {
            val middle = (low + high) / 2
            val page = log.read(stream, middle, 1, 0).getOrElse { return Err(it) }
            val record = page.records.firstOrNull() ?: return Ok(Unit)
            if (record.timeMs < retainFromMs) low = middle else high = middle
        }
        if (low > first.earliestOffset) index.skipTo(low)
        return Ok(Unit)
    }

    private companion object {
        const val PAGE_RECORDS = 500
        val LOG = LoggerFactory.getLogger(ShardReader::class.java)
    }
}
