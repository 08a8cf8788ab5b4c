package org.godwitwick.node.upstream

import kotlinx.serialization.json.Json
import okhttp3.Call
import okhttp3.Response
import java.io.IOException
import java.io.InterruptedIOException
import java.util.concurrent.TimeUnit

/** One event read from an engine. */
sealed interface EngineStreamEvent {
    /** Token number [index] of this request. */
    data class Token(val index: Int, val text: String) : EngineStreamEvent

    /** The segment is prefilled; [handle] names its KV memory in later calls. */
    data class Prefilled(val handle: String) : EngineStreamEvent

    /** The answer is complete. */
    data class Done(val tokens: Int) : EngineStreamEvent

    /** Nothing more comes from this connection. */
    data class Failed(val failure: EngineFailure) : EngineStreamEvent
}

/**
 * The answer stream of one call to an engine. Each message is checked for the request id and the token index; after the first wrong
 * one the connection is closed.
 */
class EngineStream internal constructor(
    private val call: Call,
    private val response: Response,
    private val requestId: String,
    private var nextIndex: Int,
    private val counters: UpstreamCounters,
) : AutoCloseable {
    private val source = response.body.source()
    private var isWhole = false

    /** Waits for the next event, at most for the stall timeout and until the deadline of the call. */
    fun next(): EngineStreamEvent = try {
        readEvent()
    } catch (e: InterruptedIOException) {
        counters.stalls.increment()
        failed(EngineFailure.Stalled("no bytes from the engine: ${e.message}"))
    } catch (e: IOException) {
        failed(EngineFailure.ConnectionLost("engine stream broke: ${e.message}", wasAccepted = true))
    } catch (_: IllegalArgumentException) {
        failed(EngineFailure.Misbehaved("engine event not understood"))
    }

    private fun readEvent(): EngineStreamEvent {
        while (true) {
            val line = source.readUtf8Line()
                ?: return failed(EngineFailure.ConnectionLost("engine stream ended early", wasAccepted = true))
            if (!line.startsWith(DATA_PREFIX)) continue
            return accept(lenientJson.decodeFromString<EngineEvent>(line.substring(DATA_PREFIX.length)))
        }
    }

    private fun accept(event: EngineEvent): EngineStreamEvent {
        if (event.requestId != requestId) {
            counters.wrongRequestIds.increment()
            return failed(EngineFailure.Misbehaved("engine event belongs to another request"))
        }
        return when {
            event.error != null -> failed(EngineFailure.Misbehaved("engine reported an error"))
            event.handle != null -> ended(EngineStreamEvent.Prefilled(event.handle))
            event.done -> if (event.tokens == nextIndex) ended(EngineStreamEvent.Done(nextIndex)) else wrongIndex()
            event.index != nextIndex || event.token == null -> wrongIndex()
            else -> EngineStreamEvent.Token(nextIndex++, event.token)
        }
    }

    private fun wrongIndex(): EngineStreamEvent {
        counters.wrongIndexes.increment()
        return failed(EngineFailure.Misbehaved("engine token is out of order"))
    }

    // Only a connection whose answer was read to its end may carry another request.
    private fun ended(event: EngineStreamEvent): EngineStreamEvent {
        isWhole = try {
            source.timeout().timeout(END_WAIT_MS, TimeUnit.MILLISECONDS)
            var line = source.readUtf8Line()
            while (line != null && !line.startsWith(DATA_PREFIX)) line = source.readUtf8Line()
            line == null
        } catch (_: IOException) {
            false
        }
        return event
    }

    private fun failed(failure: EngineFailure): EngineStreamEvent = EngineStreamEvent.Failed(failure)

    // An abandoned connection may still deliver the old answer, so it is cancelled and never goes back to the pool.
    override fun close() {
        if (!isWhole) call.cancel()
        response.close()
    }

    private companion object {
        const val DATA_PREFIX = "data:"

        // The end of the body follows the last event at once; a caller doesn't wait long for an engine that keeps it back.
        const val END_WAIT_MS = 100L
        val lenientJson = Json { ignoreUnknownKeys = true }
    }
}
