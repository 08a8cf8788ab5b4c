package org.godwitwick.node.forward

import com.github.michaelbull.result.getOrElse
import org.godwitwick.node.memory.BodyShare
import org.http4k.core.Response
import java.io.IOException

/**
 * Forwards one request: places it, sends it, and retries or resumes it at another upstream where that is allowed. Used by one
 * thread.
 *
 * @param arrivedMs monotonic time of the request's arrival.
 * @param share memory of this request; it holds [body] already.
 * @param onEnd called when the answer was forwarded completely or has been abandoned.
 */
class ForwardRun(
    private val context: ForwardContext,
    private val request: CallerRequest,
    private val body: ByteArray,
    arrivedMs: Long,
    private val guard: RunGuard,
    share: BodyShare,
    onEnd: () -> Unit,
) {
    private val state = RunState(context, request, body, arrivedMs, guard, share)
    private val steps = RunSteps(state)
    private val answers = AttemptAnswer(state, steps)
    private val upstreamAttempt = UpstreamAttempt(state, steps, answers)
    private val relayedAttempt = RelayedAttempt(state, steps, answers)
    private val runAnswer = RunAnswer(state, ::resume, onEnd)

    /** Forwards the request and returns the response for the caller. */
    fun answer(): Response = runAnswer.responseTo(runAttempts(request.lastEventId))

    private fun runAttempts(lastEventId: Long?): RunOutcome = try {
        var outcome: RunOutcome? = null
        while (outcome == null) outcome = nextAttempt(lastEventId)
        outcome
    } finally {
        state.endTurns()
    }

    // Returns null if the request is to be placed again.
    private fun nextAttempt(lastEventId: Long?): RunOutcome? {
        if (guard.cancelReason == CancelReason.CALLER_GONE) return RunOutcome.Failed(RunFailures.callerGone())
        val admitted = state.admit().getOrElse { return RunOutcome.Failed(it) }
        context.crashGuard.quarantinedTraitOf(request, body)?.let { return RunOutcome.Failed(RunFailures.quarantined(it)) }
        if (state.relay.mustRefuse) return RunOutcome.Failed(RunFailures.cutOff())
        state.relay.nextPeer(admitted.regions)?.let { return relayedAttempt.run(it, admitted.route, lastEventId) }
        val service = state.service ?: admitted.route.serviceFor(context.random.nextDouble()).also(::onServiceChosen)
        return upstreamAttempt.run(admitted, service, lastEventId)
    }

    private fun onServiceChosen(service: String) {
        state.service = service
        if (request.hop?.isCounted != true) context.budgets.onRequest(service, Clocks.steadyMs())
    }

    private fun resume(broken: UpstreamStream, cause: IOException, lastEventId: Long?): UpstreamStream? {
        val route = state.admit().getOrElse { return null }.route
        val step = steps.decideNext(route, broken.upstream, steps.brokenBy(cause), null)
        if (step != null) return null
        return when (val outcome = runAttempts(lastEventId)) {
            is RunOutcome.Stream -> outcome.stream

            is RunOutcome.Single -> {
                outcome.largeBody?.close()
                null
            }

            is RunOutcome.Failed -> null
        }
    }
}
