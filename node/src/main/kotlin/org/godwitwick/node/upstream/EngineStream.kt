package org.godwitwick.node.upstream

import kotlinx.serialization.json.Json
import okhttp3.Call
import okhttp3.Response
import java.io.IOException
import java.io.InterruptedIOException
import java.util.concurrent.TimeUnit

/** An event read from an engine. */
sealed interface EngineStreamEvent {
    /** The token at [index], counted from 0 over all attempts of the request. */
    data class Token(val index: Int, val text: String) : EngineStreamEvent

    /** The segment has been prefilled; [handle] identifies its KV memory in later calls. */
    data class Prefilled(val handle: String) : EngineStreamEvent

    /** The answer is complete and has [tokens] tokens. */
    data class Done(val tokens: Int) : EngineStreamEvent

    /** The stream failed and delivers no further events. */
    data class Failed(val failure: EngineFailure) : EngineStreamEvent
}

/**
 * The answer stream of one call to an engine. The request id and the token index of each event are verified; the first mismatch
 * fails the stream, whose connection is then closed instead of reused.
 */
class EngineStream internal constructor(
    private val call: Call,
    private val response: Response,
    private val requestId: String,
    private var nextIndex: Int,
    private val counters: UpstreamCounters,
) : AutoCloseable {
    private val source = response.body.source()
    private var isFullyRead = false

    /** Waits for the next event, at most until the stall timeout or the deadline of the call. */
    fun next(): EngineStreamEvent = try {
        readEvent()
    } catch (e: InterruptedIOException) {
        counters.stalls.increment()
        failed(EngineFailure.Stalled("engine sent no bytes in time: ${e.message}"))
    } catch (e: IOException) {
        failed(EngineFailure.ConnectionLost("engine connection lost while reading the stream: ${e.message}", wasAccepted = true))
    } catch (_: IllegalArgumentException) {
        failed(EngineFailure.ProtocolViolation("engine event could not be decoded"))
    }

    private fun readEvent(): EngineStreamEvent {
        while (true) {
            val line = source.readUtf8Line()
                ?: return failed(EngineFailure.ConnectionLost("engine stream ended before its last event", wasAccepted = true))
            if (!line.startsWith(DATA_PREFIX)) continue
            return accept(lenientJson.decodeFromString<EngineEvent>(line.substring(DATA_PREFIX.length)))
        }
    }

    private fun accept(event: EngineEvent): EngineStreamEvent {
        if (event.requestId != requestId) {
            counters.wrongRequestIds.increment()
            return failed(EngineFailure.ProtocolViolation("engine event belongs to another request"))
        }
        return when {
            event.error != null -> failed(EngineFailure.ProtocolViolation("engine reported an error"))
            event.handle != null -> ended(EngineStreamEvent.Prefilled(event.handle))
            event.done -> if (event.tokens == nextIndex) ended(EngineStreamEvent.Done(nextIndex)) else wrongIndex()
            event.index != nextIndex || event.token == null -> wrongIndex()
            else -> EngineStreamEvent.Token(nextIndex++, event.token)
        }
    }

    private fun wrongIndex(): EngineStreamEvent {
        counters.wrongIndexes.increment()
        return failed(EngineFailure.ProtocolViolation("engine token is out of order"))
    }

    // A connection may be reused only if its answer was read to the end.
    private fun ended(event: EngineStreamEvent): EngineStreamEvent {
        isFullyRead = try {
            source.timeout().timeout(END_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            var line = source.readUtf8Line()
            while (line != null && !line.startsWith(DATA_PREFIX)) line = source.readUtf8Line()
            line == null
        } catch (_: IOException) {
            false
        }
        return event
    }

    private fun failed(failure: EngineFailure): EngineStreamEvent = EngineStreamEvent.Failed(failure)

    // A connection whose answer was not read to the end may still deliver the rest, so it is closed and does not return to the
    // pool.
    override fun close() {
        if (!isFullyRead) call.cancel()
        response.close()
    }

    private companion object {
        const val DATA_PREFIX = "data:"

        // The end of the body normally follows the last event immediately; a caller does not wait longer for an engine that
        // delays it.
        const val END_TIMEOUT_MS = 100L
        val lenientJson = Json { ignoreUnknownKeys = true }
    }
}
