package org.godwitwick.node.forward

import com.github.michaelbull.result.getOrElse
import org.godwitwick.core.error.Failure
import org.godwitwick.core.forward.AdmittedTarget
import org.godwitwick.core.forward.AttemptEnd
import org.godwitwick.core.forward.CallerWait
import org.godwitwick.core.forward.ForwardRoute
import org.godwitwick.core.forward.ForwardService
import org.godwitwick.core.forward.Placement
import org.godwitwick.core.forward.PrefillForecast
import org.godwitwick.core.forward.callerPatienceMs
import org.godwitwick.core.forward.failureOf
import org.godwitwick.core.forward.urgencyOf
import org.slf4j.LoggerFactory

/** Attempts of one request at the upstreams: places it, waits for the engines, sends it and reads the answer. Used by one thread. */
internal class UpstreamAttempt(private val state: RunState, private val steps: RunSteps, private val answers: AttemptAnswer) {
    private val context = state.context
    private val request = state.request
    private val guard = state.guard
    private val placer = state.placer

    /** Makes one attempt at the service called [serviceName]; returns null if the request is to be placed again. */
    fun run(admitted: AdmittedTarget, serviceName: String, lastEventId: Long?): RunOutcome? {
        val spec = context.fleetView.routing.table?.serviceOf(serviceName)
        val wait = callerWait(admitted.route)
        val kept = state.rankedTurn.prepare(admitted, serviceName, wait) ?: return awaitRanked(null)
        val decision = placer.place(spec, serviceName, admitted, wait, kept)
        state.ranks.onDecision(serviceName, decision)
        return when (decision) {
            is PlacementDecision.Send -> {
                state.turn.end(state.elapsedMs())
                sendPlaced(decision.work, admitted, lastEventId)
            }

            is PlacementDecision.Wait -> if (state.rankedTurn.isNeeded) awaitRanked(decision) else awaitTurn(decision.forecast)

            is PlacementDecision.Reject -> RunOutcome.Failed(RunFailures.backlog(decision.retryAfterMs))

            is PlacementDecision.Limited -> awaitLimit(decision.waitsMs, spec, admitted.route)

            is PlacementDecision.NoUpstream -> RunOutcome.Failed(placementFailure(serviceName, admitted.regions))
        }
    }

    // Returns null if the request is to be placed again, at another upstream or later.
    private fun sendPlaced(work: PlacedWork, admitted: AdmittedTarget, lastEventId: Long?): RunOutcome? {
        val placement = work.placement
        val progress = state.rankedTurn.onPlaced(work, context.loads.begin(work, Clocks.steadyMs()))
        if (work.isLongPrompt) context.onLongPromptPlaced()
        val reservedHelpers = context.reservations.reserve(placement, request.id).getOrElse { refusing ->
            progress.end()
            refusing.forEach { placer.avoid(it.address) }
            val end = AttemptEnd.NotSent("KV cache for the prompt could not be reserved")
            return steps.decideNext(admitted.route, null, end, null)
        }
        if (!context.fleetView.isUsable(placement)) {
            reservedHelpers.release()
            progress.end()
            log.info(
                "forward: {} is placed again, as the data centre of {} or a helper is evacuated",
                request.id,
                placement.upstream.id,
            )
            return null
        }
        state.rankedTurn.onSend()
        val endAttempt = {
            guard.detach()
            progress.end()
            reservedHelpers.release()
        }
        val needsNewConnection = !admitted.route.kind.isIdempotent || placer.wasTried(placement.upstream)
        placer.markTried(placement.upstream)
        state.crashes.onAttempt()
        val call = UpstreamCall(
            request,
            placement.upstream,
            admitted.organisation,
            state.remainingMs(),
            urgencyOf(request.size, placer.rankAt(state.service.orEmpty(), admitted)),
            reservedHelpers.helpers,
            lastEventId,
        )
        val result = send(call, admitted.route, placement, needsNewConnection)
        val outcome = when (result) {
            is SendResult.Ended -> null
            is SendResult.Open -> answers.read(result, admitted.route, placement.upstream, progress, endAttempt)
        }
        if (outcome is RunOutcome.Stream) return outcome
        if (outcome !is RunOutcome.Single || outcome.largeBody == null) endAttempt()
        return when (result) {
            is SendResult.Ended -> {
                if (result.end is AttemptEnd.NotSent) state.relay.onConnectionFailed()
                steps.decideNext(admitted.route, placement.upstream, result.end, result.faultyAddress)
            }

            is SendResult.Open -> steps.onAnswerRead(admitted.route, placement.upstream, outcome as RunOutcome.Single?)
        }
    }

    private fun send(call: UpstreamCall, route: ForwardRoute, placement: Placement, needsNewConnection: Boolean): SendResult {
        val limitMs = context.streamTimeouts.firstEventTimeoutMs(route, state.counts.mayHaveRun)
        val engines = placement.helpers.map { it.upstream } + placement.upstream
        return context.client.send(call, state.body, needsNewConnection, guard) { sent ->
            guard.attach(sent, limitMs, state.retries.silencePolicyOf(engines), Clocks.steadyMs())
        }
    }

    private fun callerWait(route: ForwardRoute): CallerWait {
        val sinceMs = state.arrivedMs + state.lastEventMs
        val targetMs = if (state.lastEventMs > 0) route.gapTargetMs else route.targetMs
        return CallerWait(sinceMs, targetMs, minOf(sinceMs + callerPatienceMs(route), guard.deadlineMs))
    }

    // Returns null if the request is to be placed again. Requests wait only for services that state what their cold upstreams accept.
    private fun awaitLimit(waitsMs: List<Long>, service: ForwardService?, route: ForwardRoute): RunOutcome? {
        val waitMs = service?.cold?.let { context.limitQueue.begin(service.name, waitsMs, callerWait(route), Clocks.steadyMs()) }
        if (waitMs == null) return RunOutcome.Failed(RunFailures.limited(waitsMs.firstOrNull(), context.random.nextDouble()))
        // A prompt that kept its turn during this wait would hold up those behind it.
        state.rankedTurn.end()
        val mayGoOn = try {
            guard.pause(waitMs.coerceAtLeast(1))
        } finally {
            context.limitQueue.end(service.name)
        }
        return if (mayGoOn) null else RunOutcome.Failed(interruption())
    }

    // Returns null if the request is to be placed again. The caller's key may have been revoked meanwhile, so the request is
    // admitted again as well.
    private fun awaitTurn(forecast: PrefillForecast): RunOutcome? {
        val hasBegun = state.turn.begin(state.service.orEmpty(), forecast, state.elapsedMs())
        if (!hasBegun) return RunOutcome.Failed(RunFailures.backlog(forecast.backlogMs.toLong()))
        return if (state.turn.await()) null else RunOutcome.Failed(interruption())
    }

    // Returns null if the request is to be placed again.
    private fun awaitRanked(decision: PlacementDecision.Wait?): RunOutcome? {
        // The configuration may have stated ranks while the request waited without an order.
        state.turn.end(state.elapsedMs())
        return when (state.rankedTurn.await(decision)) {
            RankedTurnEnd.TURN -> null
            RankedTurnEnd.REFUSED -> RunOutcome.Failed(state.rankedTurn.refusal(decision?.forecast))
            RankedTurnEnd.CANCELLED -> RunOutcome.Failed(interruption())
        }
    }

    private fun interruption(): Failure = if (guard.cancelReason == CancelReason.STOPPING) {
        RunFailures.stopping()
    } else {
        steps.deadlineFailure() ?: RunFailures.callerGone()
    }

    private fun placementFailure(serviceName: String, regions: Set<String>?): Failure {
        state.lastEnd?.let { return failureOf(it, state.counts) }
        val hasUpstream = placer.presentAt(serviceName, regions).isNotEmpty()
        if (hasUpstream || regions == null) return RunFailures.noPlacement(hasUpstream)
        context.metrics.recordRegionRefusal(serviceName)
        val elsewhere = placer.presentAt(serviceName, null).size
        log.info(
            "forward: {} may be handled in {} only; {} has {} upstreams elsewhere",
            request.id,
            regions,
            serviceName,
            elsewhere,
        )
        return RunFailures.noRegion(regions)
    }

    private companion object {
        val log = LoggerFactory.getLogger(ForwardRun::class.java)
    }
}
