package org.godwitwick.node.metrics

import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.model.GenerateRequest
import org.godwitwick.node.upstream.TokenEvent
import org.godwitwick.node.upstream.TokenStream
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Measures one request from its arrival to its end. Used by the request's traffic thread.
 *
 * @property arrivedNanos time of arrival on the scale of [nanoTime].
 */
class RequestMeter(
    private val metrics: NodeMetrics,
    private val arrivedNanos: Long,
    private val nanoTime: () -> Long = System::nanoTime,
) {
    private val isEnded = AtomicBoolean()
    private var lastTokenNanos = 0L

    /** Tokens seen so far. */
    var tokens = 0
        private set

    /** Time since the arrival, in milliseconds. */
    val elapsedMs: Long get() = (nanoTime() - arrivedNanos) / NANOS_PER_MS

    init {
        metrics.requestArrived()
    }

    /** Passes the events of [stream] on and records the times of the tokens of [request]. */
    fun metered(stream: TokenStream, request: GenerateRequest): TokenStream {
        metrics.requestAdmitted(request)
        return MeteredStream(stream, request)
    }

    /** Records the end of the request with [kind], null for success. Returns false when the end was already recorded. */
    fun end(kind: ErrorKind?): Boolean {
        if (!isEnded.compareAndSet(false, true)) return false
        metrics.requestEnded(kind)
        return true
    }

    private inner class MeteredStream(private val stream: TokenStream, private val request: GenerateRequest) : TokenStream {
        override fun next(): TokenEvent {
            val event = stream.next()
            if (event is TokenEvent.Token) token()
            return event
        }

        private fun token() {
            val now = nanoTime()
            if (tokens == 0) {
                metrics.firstToken(request, now - arrivedNanos)
            } else {
                metrics.tokenGap(request, now - lastTokenNanos)
            }
            lastTokenNanos = now
            tokens++
        }

        override fun close() = stream.close()
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
    }
}
