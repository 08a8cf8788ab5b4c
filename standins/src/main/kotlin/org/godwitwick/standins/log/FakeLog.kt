package org.godwitwick.standins.log

import io.undertow.server.HttpServerExchange
import io.undertow.util.Headers
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.godwitwick.standins.FakeServer
import org.godwitwick.standins.bodyText
import org.godwitwick.standins.query
import org.godwitwick.standins.sendJson
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Stand-in for the platform's log. `POST /faults` (JSON of [LogFaults]) or [setFaults] sets its faults. */
class FakeLog(port: Int, private val nowMs: () -> Long = System::currentTimeMillis) : AutoCloseable {
    private class Record(val offset: Long, val timeMs: Long, val data: String)

    private class Stream {
        val records = ArrayDeque<Record>()
        var endOffset = 0L
        val earliestOffset: Long get() = records.firstOrNull()?.offset ?: endOffset
    }

    private enum class AppendOutcome { ANSWERED, REFUSED, RATE_LIMITED, ANSWER_LOST }

    private class AppendResult(val outcome: AppendOutcome, val offset: Long = -1)

    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val streams = HashMap<String, Stream>()
    private val delayed = ArrayList<Pair<String, String>>()
    private var faults = LogFaults()
    private var windowStartMs = 0L
    private var appendsInWindow = 0
    private var appendCount = 0L
    private val server = FakeServer(port, WORKER_THREADS, ::serve)

    /** `ip:port` of the stand-in. */
    val address: String get() = server.address

    /** Number of appends that took effect. */
    val appends: Long get() = lock.withLock { appendCount }

    /** Number of appends that take effect at [releaseDelayed]. */
    val delayedAppends: Int get() = lock.withLock { delayed.size }

    /** Replaces all faults by [newFaults]. */
    fun setFaults(newFaults: LogFaults) = lock.withLock { faults = newFaults }

    /** Applies the delayed appends in the order in which they arrived. */
    fun releaseDelayed() = lock.withLock {
        delayed.forEach { (stream, data) -> store(stream, data) }
        delayed.clear()
    }

    /** Drops all but the [keep] newest records of every stream, even if the retention settings would keep more. */
    fun retainNewest(keep: Int) = lock.withLock { streams.values.forEach { dropOldest(it, keep) } }

    /** Names of the streams to which a record was ever appended. */
    fun streamNames(): Set<String> = lock.withLock { streams.filterValues { it.endOffset > 0 }.keys.toSet() }

    private fun serve(exchange: HttpServerExchange) {
        val method = exchange.requestMethod.toString()
        if (method == "POST" && exchange.requestPath == "/faults") {
            setFaults(Json.decodeFromString(exchange.bodyText()))
            return exchange.sendJson("{}")
        }
        val currentFaults = lock.withLock { faults }
        if (currentFaults.slowMs > 0) Thread.sleep(currentFaults.slowMs)
        val stream = STREAM_PATH.matchEntire(exchange.requestPath)?.groupValues?.get(1)
        when {
            stream == null -> exchange.sendJson("{}", NOT_FOUND)
            currentFaults.outage -> exchange.sendJson("{}", UNAVAILABLE)
            method == "POST" -> append(exchange, stream)
            else -> read(exchange, stream)
        }
    }

    private fun append(exchange: HttpServerExchange, stream: String) {
        val data = Json.parseToJsonElement(exchange.bodyText()).jsonObject.getValue("data").jsonPrimitive.content
        val result = lock.withLock { appendLocked(stream, data) }
        when (result.outcome) {
            AppendOutcome.ANSWERED -> exchange.sendJson("{\"offset\":${result.offset}}")

            AppendOutcome.REFUSED -> exchange.sendJson("{}", CONFLICT)

            AppendOutcome.RATE_LIMITED -> {
                exchange.responseHeaders.put(Headers.RETRY_AFTER, "1")
                exchange.sendJson("{}", TOO_MANY)
            }

            AppendOutcome.ANSWER_LOST -> exchange.connection.close()
        }
    }

    private fun appendLocked(stream: String, data: String): AppendResult {
        if (faults.refuseAppends) return AppendResult(AppendOutcome.REFUSED)
        if (isOverRate()) return AppendResult(AppendOutcome.RATE_LIMITED)
        if (faults.delayAppends > 0) {
            faults = faults.copy(delayAppends = faults.delayAppends - 1)
            delayed += stream to data
            return AppendResult(AppendOutcome.ANSWER_LOST)
        }
        val offset = store(stream, data)
        if (faults.loseAnswers == 0) return AppendResult(AppendOutcome.ANSWERED, offset)
        faults = faults.copy(loseAnswers = faults.loseAnswers - 1)
        return AppendResult(AppendOutcome.ANSWER_LOST)
    }

    private fun isOverRate(): Boolean {
        val limit = faults.appendsPerSecond ?: return false
        val now = nowMs()
        if (now - windowStartMs >= MS_PER_SECOND) {
            windowStartMs = now
            appendsInWindow = 0
        }
        return ++appendsInWindow > limit
    }

    private fun store(name: String, data: String): Long {
        val stream = streams.getOrPut(name) { Stream() }
        stream.records.addLast(Record(stream.endOffset++, nowMs(), data))
        appendCount++
        applyRetention(stream)
        changed.signalAll()
        return stream.endOffset - 1
    }

    private fun applyRetention(stream: Stream) {
        faults.retentionRecords?.let { dropOldest(stream, it) }
        val oldestKeptMs = nowMs() - (faults.retentionMs ?: return)
        while (stream.records.isNotEmpty() && stream.records.first().timeMs < oldestKeptMs) stream.records.removeFirst()
    }

    private fun dropOldest(stream: Stream, keep: Int) {
        while (stream.records.size > keep) stream.records.removeFirst()
    }

    private fun read(exchange: HttpServerExchange, name: String) {
        val from = exchange.query("from")?.toLong() ?: 0
        val max = exchange.query("max")?.toInt() ?: DEFAULT_PAGE
        val waitMs = exchange.query("wait_ms")?.toLong() ?: 0
        exchange.sendJson(lock.withLock { pageLocked(name, from, max, waitMs) })
    }

    private fun pageLocked(name: String, from: Long, max: Int, waitMs: Long): String {
        var remainingNanos = TimeUnit.MILLISECONDS.toNanos(waitMs)
        while (remainingNanos > 0 && (streams[name]?.endOffset ?: 0) <= from) remainingNanos = changed.awaitNanos(remainingNanos)
        val stream = streams[name] ?: return "{\"earliest\":0,\"end\":0,\"records\":[]}"
        applyRetention(stream)
        val page = stream.records.asSequence().filter { it.offset >= from }.take(max)
            .joinToString(",") { "{\"offset\":${it.offset},\"time_ms\":${it.timeMs},\"data\":\"${it.data}\"}" }
        return "{\"earliest\":${stream.earliestOffset},\"end\":${stream.endOffset},\"records\":[$page]}"
    }

    override fun close() {
        server.close()
    }

    private companion object {
        const val WORKER_THREADS = 64
        const val DEFAULT_PAGE = 500
        const val MS_PER_SECOND = 1_000L
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val TOO_MANY = 429
        const val UNAVAILABLE = 503
        val STREAM_PATH = Regex("/streams/([A-Za-z0-9._-]+)/records")
    }
}
