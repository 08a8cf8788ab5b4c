package org.godwitwick.node.forward

import okio.Buffer
import okio.BufferedSource
import org.godwitwick.core.forward.ForwardRoute
import org.godwitwick.core.forward.RouteKind
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.node.memory.buffersWhole
import org.godwitwick.node.upstream.AnswerFraming
import org.godwitwick.node.upstream.MalformedAnswerException
import java.io.IOException

/** Reads the answers to the attempts of one request. Used by one thread. */
internal class AttemptAnswer(private val state: RunState, private val steps: RunSteps) {
    private val context = state.context
    private val guard = state.guard

    /**
     * Reads the answer [open] up to its first event, or whole if it is small. Returns null if it was broken off; the end of the
     * attempt is then in the state of the request.
     *
     * @param progress work of the request at [upstream], or null if another instance keeps it.
     * @param endAttempt called when the stream or the large body has ended.
     */
    fun read(
        open: SendResult.Open,
        route: ForwardRoute,
        upstream: UpstreamEntry,
        progress: UpstreamLoads.WorkInProgress?,
        endAttempt: () -> Unit,
    ): RunOutcome? = try {
        val source = open.response.body.source()
        if (route.kind is RouteKind.Streaming && open.head.status == OK) {
            val reader = EventReader(source)
            val first = reader.next()
            // Without an event and without the end of its chunks, the answer is no stream, or was cut off before its first event.
            if (first == null && open.framing != AnswerFraming.CHUNKS) {
                throw MalformedAnswerException("the stream has no event and no end")
            }
            progress?.onPrefillDone()
            if (progress != null) context.keptPrompts?.onComputed(upstream.processKey, state.request.prefixes, Clocks.steadyMs())
            state.streamReceipt = open.receipt
            state.eventGapTimeoutMs = context.streamTimeouts.eventGapTimeoutMs(route, state.counts.mayHaveRun)
            guard.restartSilenceTimer(state.eventGapTimeoutMs, Clocks.steadyMs())
            RunOutcome.Stream(UpstreamStream(open.head, upstream, first, open, reader, endAttempt))
        } else if (buffersWhole(source)) {
            val body = Buffer().apply { writeAll(source) }
            open.close()
            RunOutcome.Single(open.head, body, null, upstream, open.receipt)
        } else {
            val largeBody = LargeBody(open, { state.share.resize(state.body.size + it) }, endAttempt)
            RunOutcome.Single(open.head, Buffer(), largeBody, upstream, open.receipt)
        }
    } catch (e: IOException) {
        state.lastEnd = steps.brokenBy(e)
        open.abort()
        open.close()
        null
    }

    private fun buffersWhole(source: BufferedSource): Boolean {
        // An answer to an earlier attempt is dropped.
        state.share.resize(state.body.size.toLong())
        return source.buffersWhole(MAX_BUFFERED_BYTES, state.share, state.body.size.toLong())
    }

    private companion object {
        const val OK = 200
        const val MAX_BUFFERED_BYTES = 1L shl 20
    }
}
