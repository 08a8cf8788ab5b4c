package org.godwitwick.node.metrics

import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.model.GenerateRequest
import org.godwitwick.node.upstream.TokenEvent
import org.godwitwick.node.upstream.TokenStream
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Measures one request from its arrival to its end. Used on the thread that serves the request.
 *
 * @property arrivedNanos arrival time on the scale of [nanoTime].
 */
class RequestMeter(
    private val metrics: NodeMetrics,
    private val arrivedNanos: Long,
    private val nanoTime: () -> Long = System::nanoTime,
) {
    private val isEnded = AtomicBoolean()
    private var lastTokenNanos = 0L

    /** Number of tokens passed on so far. */
    var tokens = 0
        private set

    /** Time since arrival, in milliseconds. */
    val elapsedMs: Long get() = (nanoTime() - arrivedNanos) / NANOS_PER_MS

    init {
        metrics.requestArrived()
    }

    /** Returns a stream with the events of [stream] that records the token times of [request] as they are read. */
    fun measure(stream: TokenStream, request: GenerateRequest): TokenStream {
        metrics.requestAdmitted(request)
        return MeteredStream(stream, request)
    }

    /**
     * Records the end of the request, with [kind] or, if that is null, with success. Returns false if an end was already
     * recorded.
     */
    fun end(kind: ErrorKind?): Boolean {
        if (!isEnded.compareAndSet(false, true)) return false
        metrics.requestEnded(kind)
        return true
    }

    private inner class MeteredStream(private val stream: TokenStream, private val request: GenerateRequest) : TokenStream {
        override fun next(): TokenEvent {
            val event = stream.next()
            if (event is TokenEvent.Token) recordToken()
            return event
        }

        private fun recordToken() {
            val nowNanos = nanoTime()
            if (tokens == 0) {
                metrics.firstToken(request, nowNanos - arrivedNanos)
            } else {
                metrics.tokenGap(request, nowNanos - lastTokenNanos)
            }
            lastTokenNanos = nowNanos
            tokens++
        }

        override fun close() = stream.close()
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
    }
}
