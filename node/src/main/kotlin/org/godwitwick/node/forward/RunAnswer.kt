package org.godwitwick.node.forward

import org.godwitwick.core.error.Failure
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.adjustedForSends
import org.godwitwick.node.memory.ClosingInputStream
import org.http4k.core.Body
import org.http4k.core.Response
import org.http4k.core.Status
import org.slf4j.LoggerFactory
import java.io.IOException
import java.io.InputStream

/**
 * Builds the response for the caller of one request and records how it ended. Used by one thread.
 *
 * @param resume continues a stream that broke, at another upstream; returns null if that is not possible.
 * @param onEnd called when the answer was forwarded completely or has been abandoned.
 */
internal class RunAnswer(
    private val state: RunState,
    private val resume: (broken: UpstreamStream, cause: IOException, lastEventId: Long?) -> UpstreamStream?,
    private val onEnd: () -> Unit,
) {
    private val context = state.context
    private val request = state.request
    private var firstByteMs: Long? = null
    private var longestPauseMs = 0L

    /** The response that forwards [outcome]. */
    fun responseTo(outcome: RunOutcome): Response = when (outcome) {
        is RunOutcome.Stream -> streamResponse(outcome.stream)
        is RunOutcome.Single -> singleResponse(outcome)
        is RunOutcome.Failed -> failedResponse(outcome.failure)
    }

    private fun streamResponse(stream: UpstreamStream): Response {
        firstByteMs = state.elapsedMs()
        val relay = EventRelay(stream, request.lastEventId, resume, ::onEventPassed) { cause ->
            if (cause == null) state.crashes.onStreamComplete()
            recordEnd(stream.upstream, "stream ${cause?.let { "broken: $it" } ?: "complete: ${state.streamReceipt}"}")
        }
        return Response(Status(stream.head.status, "")).headers(stream.head.headers).body(Body(relay))
    }

    private fun onEventPassed() {
        val nowMs = state.elapsedMs()
        if (state.lastEventMs > 0) longestPauseMs = maxOf(longestPauseMs, nowMs - state.lastEventMs)
        state.lastEventMs = nowMs
        state.crashes.onEvent()
        state.guard.restartSilenceTimer(state.eventGapTimeoutMs, Clocks.steadyMs())
    }

    private fun singleResponse(answer: RunOutcome.Single): Response {
        firstByteMs = state.elapsedMs()
        val response = Response(Status(answer.head.status, "")).headers(answer.head.headers)
        if (answer.largeBody != null) return response.body(Body(withEndRecorded(answer.largeBody, answer)))
        recordEnd(answer.upstream, answer.description)
        return response.header("Content-Length", answer.body.size.toString()).body(Body(answer.body.inputStream(), null))
    }

    private fun withEndRecorded(body: LargeBody, answer: RunOutcome.Single): InputStream = ClosingInputStream(body) {
        recordEnd(answer.upstream, if (body.isWhole) answer.description else "answer broken off")
    }

    private fun failedResponse(failure: Failure): Response {
        val final = adjustedForSends(failure, state.counts)
        recordEnd(null, "failed with ${final.kind.code}: ${final.message}")
        val response = context.dialect.failureResponse(final, request.id)
        val wasSent = state.counts.mayHaveRun + state.counts.refused > 0
        return if (request.hop == null) response else RelayHeaders.withOutcome(response, RelayOutcome.of(final, wasSent))
    }

    private fun recordEnd(upstream: UpstreamEntry?, outcome: String) {
        val nowMs = state.elapsedMs()
        log.info(
            "forward: {} to {} at {} {} after {} ms, first byte {} ms, longest pause {} ms, prompt {} tokens, {}",
            request.id,
            state.service,
            upstream?.id,
            outcome,
            nowMs,
            firstByteMs,
            longestPauseMs,
            request.size?.promptTokens,
            state.counts,
        )
        context.metrics.recordEnd(state.service.orEmpty(), outcome.substringBefore(':'), firstByteMs, nowMs)
        onEnd()
    }

    private companion object {
        val log = LoggerFactory.getLogger(ForwardRun::class.java)
    }
}
