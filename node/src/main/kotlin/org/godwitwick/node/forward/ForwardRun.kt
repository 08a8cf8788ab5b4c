package org.godwitwick.node.forward

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import okio.Buffer
import okio.BufferedSource
import org.godwitwick.core.error.Failure
import org.godwitwick.core.forward.AdmittedTarget
import org.godwitwick.core.forward.AttemptEnd
import org.godwitwick.core.forward.CallerWait
import org.godwitwick.core.forward.ForwardRoute
import org.godwitwick.core.forward.ForwardTarget
import org.godwitwick.core.forward.NextStep
import org.godwitwick.core.forward.Placement
import org.godwitwick.core.forward.PrefillForecast
import org.godwitwick.core.forward.RouteKind
import org.godwitwick.core.forward.SendCounts
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.adjustedForSends
import org.godwitwick.core.forward.callerPatienceMs
import org.godwitwick.core.forward.failureOf
import org.godwitwick.core.forward.nextStep
import org.godwitwick.core.forward.urgencyOf
import org.godwitwick.node.memory.BodyShare
import org.godwitwick.node.memory.ClosingInputStream
import org.godwitwick.node.memory.buffersWhole
import org.godwitwick.node.upstream.AnswerFraming
import org.godwitwick.node.upstream.MalformedAnswerException
import org.http4k.core.Body
import org.http4k.core.Response
import org.http4k.core.Status
import org.slf4j.LoggerFactory
import java.io.IOException
import java.io.InputStream

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
    private val arrivedMs: Long,
    private val guard: RunGuard,
    private val share: BodyShare,
    private val onEnd: () -> Unit,
) {
    private val placer = RequestPlacer(context, request)
    private val turn = PrefillTurn(context, request.id, guard)
    private val crashes = CrashObserver(context.crashGuard, request, body)
    private val relay = RequestRelay(context.relay, request)
    private var counts = SendCounts()
    private var lastEnd: AttemptEnd? = null
    private var firstByteMs: Long? = null

    // Also read by the thread that checks the guards.
    @Volatile
    private var service: String? = null
    private val retries = RunRetries(context) { service.orEmpty() }
    private var eventGapTimeoutMs: Long? = null

    // Of the last stream: after a resumption it is another one than at the start.
    private var streamReceipt: String? = null
    private var lastEventMs = 0L
    private var longestPauseMs = 0L

    /** Outcome of a request: a stream or a single answer to forward, or the failure to report to the caller. */
    private sealed interface Outcome {
        class Stream(val stream: UpstreamStream) : Outcome

        /** An answer that is not a stream: [body] holds all of it, unless [largeBody] is set. */
        class Single(
            val head: AnswerHead,
            val body: Buffer,
            val largeBody: LargeBody?,
            val upstream: UpstreamEntry,
            val receipt: String,
        ) : Outcome {
            val description: String get() = "answered ${head.status}: $receipt"
        }

        class Failed(val failure: Failure) : Outcome
    }

    /** Forwards the request and returns the response for the caller. */
    fun answer(): Response = when (val outcome = runAttempts(request.lastEventId)) {
        is Outcome.Stream -> streamResponse(outcome.stream)
        is Outcome.Single -> singleResponse(outcome)
        is Outcome.Failed -> failedResponse(outcome.failure)
    }

    private fun runAttempts(lastEventId: Long?): Outcome = try {
        var outcome: Outcome? = null
        while (outcome == null) outcome = nextAttempt(lastEventId)
        outcome
    } finally {
        turn.end(elapsedMs())
    }

    // Returns null if the request is to be placed again.
    private fun nextAttempt(lastEventId: Long?): Outcome? {
        if (guard.cancelReason == CancelReason.CALLER_GONE) return Outcome.Failed(RunFailures.callerGone())
        val admitted = admit().getOrElse { return Outcome.Failed(it) }
        context.crashGuard.quarantinedTraitOf(request, body)?.let { return Outcome.Failed(RunFailures.quarantined(it)) }
        if (relay.mustRefuse) return Outcome.Failed(RunFailures.cutOff())
        relay.nextPeer()?.let { return attemptThrough(it, admitted.route, lastEventId) }
        val serviceName = service ?: admitted.route.serviceFor(context.random.nextDouble()).also { onServiceChosen(it) }
        return attempt(admitted, serviceName, lastEventId)
    }

    private fun onServiceChosen(serviceName: String) {
        service = serviceName
        if (request.hop?.isCounted != true) context.budgets.onRequest(serviceName, Clocks.steadyMs())
    }

    private fun admit() = context.admission.admit(
        ForwardTarget(request.host, request.path, request.key),
        context.fleetView.routing,
        Clocks.read(),
    ).map { if (request.hop == null) it else it.copy(route = it.route.limitedTo(request.hop.maxRuns)) }

    // Returns null if the request is to be placed again, or sent through another instance.
    private fun attemptThrough(peer: RegisteredInstance, route: ForwardRoute, lastEventId: Long?): Outcome? {
        turn.end(elapsedMs())
        val hop = RelayHop(route.maxRuns - counts.mayHaveRun, isCounted = service != null)
        val call = RelayCall(request, peer, remainingMs(), lastEventId, hop)
        val relayed = context.client.relay(call, body, needsNewConnection = !route.kind.isIdempotent, guard) { sent ->
            guard.attach(sent, null, retries.silencePolicyOf(emptyList()), Clocks.steadyMs())
        }
        val result = relayed.send
        val end = if (result is SendResult.Ended) result.end else null
        val isRefused = relayed.outcome == RelayOutcome.REFUSED
        // The other instance may have used all the runs left to it. The last one is counted with the end of the send.
        val mayHaveRun = !isRefused && (end == null || end is AttemptEnd.Broken)
        if (mayHaveRun) {
            counts = counts.copy(mayHaveRun = counts.mayHaveRun + hop.maxRuns - 1)
        }
        // Stands for the instance where an answer or a log line names its upstream.
        val sender =
            UpstreamEntry(peer.id, "", peer.callerAddress.orEmpty(), peer.dataCentre, 0, isLeaving = false, startedAtMs = null)
        val outcome = when (result) {
            is SendResult.Ended -> null
            is SendResult.Open -> readAnswer(result, route, sender, null, guard::detach)
        }
        if (outcome is Outcome.Stream) return outcome.also { context.metrics.recordRelay("stream") }
        if (outcome !is Outcome.Single || outcome.largeBody == null) guard.detach()
        context.metrics.recordRelay(if (end == null) "answered" else end.javaClass.simpleName)
        if (outcome is Outcome.Single && isRefused) return refusedOutcome(outcome)
        // The other instance has repeated it as often as the retry budget allows.
        if (end is AttemptEnd.Refused) {
            counts += end
            return Outcome.Failed(failureOf(end, counts))
        }
        if (end is AttemptEnd.NotSent) relay.onUnable(peer)
        return if (end != null) decideNext(route, null, end, null) else onAnswerRead(route, null, outcome as Outcome.Single?)
    }

    // The refusal of another instance says "not run", which holds for its own part only.
    private fun refusedOutcome(refusal: Outcome.Single): Outcome {
        if (counts.mayHaveRun == 0) return refusal
        return Outcome.Failed(failureOf(AttemptEnd.Refused(refusal.head.status, refusal.head.retryAfterMs), counts))
    }

    // Returns null if the request is to be placed again, at another upstream or later.
    private fun attempt(admitted: AdmittedTarget, serviceName: String, lastEventId: Long?): Outcome? {
        val spec = context.fleetView.routing.table?.serviceOf(serviceName)
        val work = when (val decision = placer.place(spec, serviceName, admitted.route, callerWait(admitted.route))) {
            is PlacementDecision.Send -> decision.work.also { turn.end(elapsedMs()) }

            is PlacementDecision.Wait -> return awaitTurn(decision.forecast)

            is PlacementDecision.Reject -> return Outcome.Failed(RunFailures.backlog(decision.retryAfterMs))

            is PlacementDecision.Limited ->
                return Outcome.Failed(RunFailures.limited(decision.retryAfterMs, context.random.nextDouble()))

            is PlacementDecision.NoUpstream -> return Outcome.Failed(placementFailure(serviceName))
        }
        val placement = work.placement
        val progress = context.loads.begin(work, Clocks.steadyMs())
        if (request.size?.isShort == false) context.onLongPromptPlaced()
        val reservedHelpers = context.reservations.reserve(placement, request.id).getOrElse { refusing ->
            progress.end()
            refusing.forEach { placer.avoid(it.address) }
            return decideNext(admitted.route, null, AttemptEnd.NotSent("KV cache for the prompt could not be reserved"), null)
        }
        val endAttempt = {
            guard.detach()
            progress.end()
            reservedHelpers.release()
        }
        val needsNewConnection = !admitted.route.kind.isIdempotent || placer.wasTried(placement.upstream)
        placer.markTried(placement.upstream)
        crashes.onAttempt()
        val call = UpstreamCall(
            request,
            placement.upstream,
            admitted.organisation,
            remainingMs(),
            urgencyOf(request.size),
            reservedHelpers.helpers,
            lastEventId,
        )
        val result = send(call, admitted.route, placement, needsNewConnection)
        val outcome = when (result) {
            is SendResult.Ended -> null
            is SendResult.Open -> readAnswer(result, admitted.route, placement.upstream, progress, endAttempt)
        }
        if (outcome is Outcome.Stream) return outcome
        if (outcome !is Outcome.Single || outcome.largeBody == null) endAttempt()
        return when (result) {
            is SendResult.Ended -> {
                if (result.end is AttemptEnd.NotSent) relay.onConnectionFailed()
                decideNext(admitted.route, placement.upstream, result.end, result.faultyAddress)
            }

            is SendResult.Open -> onAnswerRead(admitted.route, placement.upstream, outcome as Outcome.Single?)
        }
    }

    private fun callerWait(route: ForwardRoute): CallerWait {
        val sinceMs = arrivedMs + lastEventMs
        val targetMs = if (lastEventMs > 0) route.gapTargetMs else route.targetMs
        return CallerWait(sinceMs, targetMs, minOf(sinceMs + callerPatienceMs(route), guard.deadlineMs))
    }

    // Returns null if the request is to be placed again. The caller's key may have been revoked meanwhile, so the request is
    // admitted again as well.
    private fun awaitTurn(forecast: PrefillForecast): Outcome? {
        val hasBegun = turn.begin(service.orEmpty(), forecast, elapsedMs())
        if (!hasBegun) return Outcome.Failed(RunFailures.backlog(forecast.backlogMs.toLong()))
        if (turn.await()) return null
        if (guard.cancelReason == CancelReason.STOPPING) return Outcome.Failed(RunFailures.stopping())
        return Outcome.Failed(deadlineFailure() ?: RunFailures.callerGone())
    }

    private fun send(call: UpstreamCall, route: ForwardRoute, placement: Placement, needsNewConnection: Boolean): SendResult {
        val limitMs = context.streamTimeouts.firstEventTimeoutMs(route, counts.mayHaveRun)
        val engines = placement.helpers.map { it.upstream } + placement.upstream
        return context.client.send(call, body, needsNewConnection, guard) { sent ->
            guard.attach(sent, limitMs, retries.silencePolicyOf(engines), Clocks.steadyMs())
        }
    }

    private fun readAnswer(
        open: SendResult.Open,
        route: ForwardRoute,
        upstream: UpstreamEntry,
        progress: UpstreamLoads.WorkInProgress?,
        endAttempt: () -> Unit,
    ): Outcome? = try {
        val source = open.response.body.source()
        if (route.kind is RouteKind.Streaming && open.head.status == OK) {
            val reader = EventReader(source)
            val first = reader.next()
            // Without an event and without the end of its chunks, the answer is no stream, or was cut off before its first event.
            if (first == null && open.framing != AnswerFraming.CHUNKS) {
                throw MalformedAnswerException("the stream has no event and no end")
            }
            progress?.onPrefillDone()
            streamReceipt = open.receipt
            eventGapTimeoutMs = context.streamTimeouts.eventGapTimeoutMs(route, counts.mayHaveRun)
            guard.restartSilenceTimer(eventGapTimeoutMs, Clocks.steadyMs())
            Outcome.Stream(UpstreamStream(open.head, upstream, first, open, reader, endAttempt))
        } else if (buffersWhole(source)) {
            val body = Buffer().apply { writeAll(source) }
            open.close()
            Outcome.Single(open.head, body, null, upstream, open.receipt)
        } else {
            val largeBody = LargeBody(open, { share.resize(body.size + it) }, endAttempt)
            Outcome.Single(open.head, Buffer(), largeBody, upstream, open.receipt)
        }
    } catch (e: IOException) {
        lastEnd = brokenBy(e)
        open.abort()
        open.close()
        null
    }

    private fun buffersWhole(source: BufferedSource): Boolean {
        // An answer to an earlier attempt is dropped.
        share.resize(body.size.toLong())
        return source.buffersWhole(MAX_BUFFERED_BYTES, share, body.size.toLong())
    }

    private fun onAnswerRead(route: ForwardRoute, upstream: UpstreamEntry?, outcome: Outcome.Single?): Outcome? {
        if (outcome == null) return decideNext(route, upstream, lastEnd ?: AttemptEnd.Broken("no answer"), null)
        if (outcome.largeBody != null) return outcome
        return decideNext(route, upstream, AttemptEnd.Answered(outcome.head.status), null, outcome)
    }

    // Returns null if another upstream is to be tried.
    private fun decideNext(
        route: ForwardRoute,
        upstream: UpstreamEntry?,
        end: AttemptEnd,
        faultyAddress: String?,
        answer: Outcome.Single? = null,
    ): Outcome? {
        counts += end
        lastEnd = end
        // Another instance judges the upstreams that it has used by itself.
        upstream?.takeIf { !relay.isPeer(it) }?.let {
            penaliseFault(it, end, faultyAddress)
            crashes.onEnd(it, end)
        }
        val hasTimeLeft = remainingMs() > MIN_SEND_MS && guard.cancelReason.let { it == null || it == CancelReason.SILENCE }
        val step = nextStep(route, end, counts, hasTimeLeft, retries::take)
        if (end !is AttemptEnd.Answered || step != NextStep.Deliver) {
            log.info(
                "forward: {} at {} ended with {} after {} ms and {} events, prompt parts {}; {}",
                request.id,
                upstream?.id,
                end,
                elapsedMs(),
                crashes.events,
                request.sharedParts.take(MAX_LOGGED_PARTS),
                step,
            )
        }
        return when (step) {
            is NextStep.Deliver -> answer ?: Outcome.Failed(failureOf(end, counts))

            is NextStep.GiveUp -> Outcome.Failed(deadlineFailure() ?: step.failure)

            is NextStep.TryAnother -> {
                context.metrics.recordRetry(service.orEmpty())
                null
            }
        }
    }

    private fun brokenBy(cause: IOException) =
        AttemptEnd.Broken(guard.causeOf(cause), guard.cancelReason == null && cause !is MalformedAnswerException)

    private fun penaliseFault(upstream: UpstreamEntry, end: AttemptEnd, faultyAddress: String?) {
        if (end is AttemptEnd.Answered && end.status < SERVER_ERROR) return
        if (guard.cancelReason == CancelReason.CALLER_GONE || guard.cancelReason == CancelReason.STOPPING) return
        faultyAddress?.let(placer::avoid)
        val known = context.fleetView.upstreams[service].orEmpty()
        val atFault = faultyAddress?.let { address -> known.firstOrNull { it.address == address } } ?: upstream
        context.loads.penalise(atFault, Clocks.steadyMs())
    }

    private fun placementFailure(serviceName: String): Failure = lastEnd?.let { failureOf(it, counts) }
        ?: RunFailures.noPlacement(hasUpstream = placer.presentAt(serviceName).isNotEmpty())

    private fun streamResponse(stream: UpstreamStream): Response {
        firstByteMs = elapsedMs()
        val relay = EventRelay(stream, request.lastEventId, ::resume, ::onEventPassed) { cause ->
            if (cause == null) crashes.onStreamComplete()
            recordEnd(stream.upstream, "stream ${cause?.let { "broken: $it" } ?: "complete: $streamReceipt"}")
        }
        return Response(Status(stream.head.status, "")).headers(stream.head.headers).body(Body(relay))
    }

    private fun onEventPassed() {
        val nowMs = elapsedMs()
        if (lastEventMs > 0) longestPauseMs = maxOf(longestPauseMs, nowMs - lastEventMs)
        lastEventMs = nowMs
        crashes.onEvent()
        guard.restartSilenceTimer(eventGapTimeoutMs, Clocks.steadyMs())
    }

    private fun resume(broken: UpstreamStream, cause: IOException, lastEventId: Long?): UpstreamStream? {
        val route = admit().getOrElse { return null }.route
        val step = decideNext(route, broken.upstream, brokenBy(cause), null)
        if (step != null) return null
        return when (val outcome = runAttempts(lastEventId)) {
            is Outcome.Stream -> outcome.stream

            is Outcome.Single -> {
                outcome.largeBody?.close()
                null
            }

            is Outcome.Failed -> null
        }
    }

    private fun singleResponse(answer: Outcome.Single): Response {
        firstByteMs = elapsedMs()
        val response = Response(Status(answer.head.status, "")).headers(answer.head.headers)
        if (answer.largeBody != null) return response.body(Body(withEndRecorded(answer.largeBody, answer)))
        recordEnd(answer.upstream, answer.description)
        return response.header("Content-Length", answer.body.size.toString()).body(Body(answer.body.inputStream(), null))
    }

    private fun withEndRecorded(body: LargeBody, answer: Outcome.Single): InputStream = ClosingInputStream(body) {
        recordEnd(answer.upstream, if (body.isWhole) answer.description else "answer broken off")
    }

    private fun failedResponse(failure: Failure): Response {
        val final = adjustedForSends(failure, counts)
        recordEnd(null, "failed with ${final.kind.code}: ${final.message}")
        val response = context.dialect.failureResponse(final, request.id)
        val wasSent = counts.mayHaveRun + counts.refused > 0
        return if (request.hop == null) response else RelayHeaders.withOutcome(response, RelayOutcome.of(final, wasSent))
    }

    private fun deadlineFailure(): Failure? {
        if (guard.cancelReason != CancelReason.TIMEOUT && remainingMs() > 0) return null
        return RunFailures.deadline(counts)
    }

    private fun recordEnd(upstream: UpstreamEntry?, outcome: String) {
        val nowMs = elapsedMs()
        log.info(
            "forward: {} to {} at {} {} after {} ms, first byte {} ms, longest pause {} ms, prompt {} tokens, {}",
            request.id,
            service,
            upstream?.id,
            outcome,
            nowMs,
            firstByteMs,
            longestPauseMs,
            request.size?.promptTokens,
            counts,
        )
        context.metrics.recordEnd(service.orEmpty(), outcome.substringBefore(':'), firstByteMs, nowMs)
        onEnd()
    }

    private fun elapsedMs(): Long = Clocks.steadyMs() - arrivedMs

    private fun remainingMs(): Long = guard.deadlineMs - Clocks.steadyMs()

    private companion object {
        const val OK = 200
        const val SERVER_ERROR = 500
        const val MAX_BUFFERED_BYTES = 1L shl 20

        /** With less time left a send would not be answered in time. */
        const val MIN_SEND_MS = 20L

        /** Bounds the length of a log line. */
        const val MAX_LOGGED_PARTS = 8
        val log = LoggerFactory.getLogger(ForwardRun::class.java)
    }
}
