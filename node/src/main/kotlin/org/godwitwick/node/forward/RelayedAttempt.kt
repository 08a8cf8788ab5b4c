package org.godwitwick.node.forward

import org.godwitwick.core.forward.AttemptEnd
import org.godwitwick.core.forward.ForwardRoute
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.failureOf

/** Attempts of one request through another instance, for an instance that reaches no upstream. Used by one thread. */
internal class RelayedAttempt(private val state: RunState, private val steps: RunSteps, private val answers: AttemptAnswer) {
    private val context = state.context
    private val guard = state.guard

    /** Sends the request through [peer]; returns null if it is to be placed again, or sent through another instance. */
    fun run(peer: RegisteredInstance, route: ForwardRoute, lastEventId: Long?): RunOutcome? {
        state.endTurns()
        val hop = RelayHop(route.maxRuns - state.counts.mayHaveRun, isCounted = state.service != null)
        val call = RelayCall(state.request, peer, state.remainingMs(), lastEventId, hop)
        val relayed = context.client.relay(call, state.body, needsNewConnection = !route.kind.isIdempotent, guard) { sent ->
            guard.attach(sent, null, state.retries.silencePolicyOf(emptyList()), Clocks.steadyMs())
        }
        val result = relayed.send
        val end = if (result is SendResult.Ended) result.end else null
        val isRefused = relayed.outcome == RelayOutcome.REFUSED
        // The other instance may have used all the runs left to it. The last one is counted with the end of the send.
        val mayHaveRun = !isRefused && (end == null || end is AttemptEnd.Broken)
        if (mayHaveRun) {
            state.counts = state.counts.copy(mayHaveRun = state.counts.mayHaveRun + hop.maxRuns - 1)
        }
        // Stands for the instance where an answer or a log line names its upstream.
        val sender =
            UpstreamEntry(peer.id, "", peer.callerAddress.orEmpty(), peer.dataCentre, 0, isLeaving = false, startedAtMs = null)
        val outcome = when (result) {
            is SendResult.Ended -> null
            is SendResult.Open -> answers.read(result, route, sender, null, guard::detach)
        }
        if (outcome is RunOutcome.Stream) return outcome.also { context.metrics.recordRelay("stream") }
        if (outcome !is RunOutcome.Single || outcome.largeBody == null) guard.detach()
        context.metrics.recordRelay(if (end == null) "answered" else end.javaClass.simpleName)
        if (outcome is RunOutcome.Single && isRefused) return refusedOutcome(outcome)
        // The other instance has repeated it as often as the retry budget allows.
        if (end is AttemptEnd.Refused) {
            state.counts += end
            return RunOutcome.Failed(failureOf(end, state.counts))
        }
        if (end is AttemptEnd.NotSent) state.relay.onUnable(peer)
        return if (end != null) {
            steps.decideNext(route, null, end, null)
        } else {
            steps.onAnswerRead(route, null, outcome as RunOutcome.Single?)
        }
    }

    // The refusal of another instance says "not run", which holds for its own part only.
    private fun refusedOutcome(refusal: RunOutcome.Single): RunOutcome {
        if (state.counts.mayHaveRun == 0) return refusal
        return RunOutcome.Failed(failureOf(AttemptEnd.Refused(refusal.head.status, refusal.head.retryAfterMs), state.counts))
    }
}
