package org.godwitwick.node.forward

import org.godwitwick.core.error.Failure
import org.godwitwick.core.forward.AttemptEnd
import org.godwitwick.core.forward.ForwardRoute
import org.godwitwick.core.forward.NextStep
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.failureOf
import org.godwitwick.core.forward.nextStep
import org.godwitwick.node.upstream.MalformedAnswerException
import org.slf4j.LoggerFactory
import java.io.IOException

/** Decides after each attempt of one request what follows. Used by one thread. */
internal class RunSteps(private val state: RunState) {
    private val context = state.context
    private val request = state.request
    private val guard = state.guard

    /** Returns what to do with the [outcome] that was read from [upstream], or null if another upstream is to be tried. */
    fun onAnswerRead(route: ForwardRoute, upstream: UpstreamEntry?, outcome: RunOutcome.Single?): RunOutcome? {
        if (outcome == null) return decideNext(route, upstream, state.lastEnd ?: AttemptEnd.Broken("no answer"), null)
        if (outcome.largeBody != null) return outcome
        return decideNext(route, upstream, AttemptEnd.Answered(outcome.head.status), null, outcome)
    }

    /** Returns null if another upstream is to be tried. */
    fun decideNext(
        route: ForwardRoute,
        upstream: UpstreamEntry?,
        end: AttemptEnd,
        faultyAddress: String?,
        answer: RunOutcome.Single? = null,
    ): RunOutcome? {
        state.counts += end
        state.lastEnd = end
        // Another instance judges the upstreams that it has used by itself.
        upstream?.takeIf { !state.relay.isPeer(it) }?.let {
            penaliseFault(it, end, faultyAddress)
            state.crashes.onEnd(it, end)
        }
        val hasTimeLeft = state.remainingMs() > MIN_SEND_MS && guard.cancelReason.let { it == null || it == CancelReason.SILENCE }
        val step = nextStep(route, end, state.counts, hasTimeLeft, state.retries::take)
        if (end !is AttemptEnd.Answered || step != NextStep.Deliver) {
            log.info(
                "forward: {} at {} ended with {} after {} ms and {} events, prompt parts {}; {}",
                request.id,
                upstream?.id,
                end,
                state.elapsedMs(),
                state.crashes.events,
                request.sharedParts.take(MAX_LOGGED_PARTS),
                step,
            )
        }
        return when (step) {
            is NextStep.Deliver -> answer ?: RunOutcome.Failed(failureOf(end, state.counts))

            is NextStep.GiveUp -> RunOutcome.Failed(deadlineFailure() ?: step.failure)

            is NextStep.TryAnother -> {
                context.metrics.recordRetry(state.service.orEmpty())
                null
            }
        }
    }

    /** The end of an attempt that was broken by [cause]. */
    fun brokenBy(cause: IOException) =
        AttemptEnd.Broken(guard.causeOf(cause), guard.cancelReason == null && cause !is MalformedAnswerException)

    /** The failure that reports the deadline, or null if it has not passed. */
    fun deadlineFailure(): Failure? {
        if (guard.cancelReason != CancelReason.TIMEOUT && state.remainingMs() > 0) return null
        return RunFailures.deadline(state.counts)
    }

    private fun penaliseFault(upstream: UpstreamEntry, end: AttemptEnd, faultyAddress: String?) {
        if (end is AttemptEnd.Answered && end.status < SERVER_ERROR) return
        if (guard.cancelReason == CancelReason.CALLER_GONE || guard.cancelReason == CancelReason.STOPPING) return
        faultyAddress?.let(state.placer::avoid)
        val known = context.fleetView.upstreams[state.service].orEmpty()
        val atFault = faultyAddress?.let { address -> known.firstOrNull { it.address == address } } ?: upstream
        context.loads.penalise(atFault, Clocks.steadyMs())
    }

    private companion object {
        const val SERVER_ERROR = 500

        /** With less time left a send would not be answered in time. */
        const val MIN_SEND_MS = 20L

        /** Bounds the length of a log line. */
        const val MAX_LOGGED_PARTS = 8
        val log = LoggerFactory.getLogger(ForwardRun::class.java)
    }
}
