package org.godwitwick.node.forward

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import org.godwitwick.core.error.Failure
import org.godwitwick.core.forward.AdmittedTarget
import org.godwitwick.core.forward.AttemptEnd
import org.godwitwick.core.forward.ForwardTarget
import org.godwitwick.core.forward.SendCounts
import org.godwitwick.node.memory.BodyShare

/**
 * State of one request over all its attempts. Used by one thread, except [service].
 *
 * @property arrivedMs monotonic time of the request's arrival.
 * @property share memory of this request; it holds [body] already.
 */
internal class RunState(
    val context: ForwardContext,
    val request: CallerRequest,
    val body: ByteArray,
    val arrivedMs: Long,
    val guard: RunGuard,
    val share: BodyShare,
) {
    val placer = RequestPlacer(context, request)
    val ranks = RankObserver(context.metrics, request.id)
    val turn = PrefillTurn(context, request.id, guard)
    val rankedTurn = RankedTurn(context, request, guard)
    val crashes = CrashObserver(context.crashGuard, request, body)
    val relay = RequestRelay(context.relay, context.regions, request)
    var counts = SendCounts()
    var lastEnd: AttemptEnd? = null

    /** Service chosen for the request, or null before. Also read by the thread that checks the guards. */
    @Volatile
    var service: String? = null
    val retries = RunRetries(context) { service.orEmpty() }

    /** Time without an event after which the present stream counts as silent, in milliseconds, or null without a stream. */
    var eventGapTimeoutMs: Long? = null

    /** How the present stream was received; after a resumption it is another stream than at the start. */
    var streamReceipt: String? = null

    /** When the caller was sent the last event, in milliseconds since the arrival, or zero before the first one. */
    var lastEventMs = 0L

    /** Ends the wait for the engines, if there is one. */
    fun endTurns() {
        turn.end(elapsedMs())
        rankedTurn.end()
    }

    /** Time since the arrival, in milliseconds. */
    fun elapsedMs(): Long = Clocks.steadyMs() - arrivedMs

    /** Time until the deadline, in milliseconds. */
    fun remainingMs(): Long = guard.deadlineMs - Clocks.steadyMs()

    /** Admits the request with the configuration in force. */
    fun admit(): Result<AdmittedTarget, Failure> = context.admission.admit(
        ForwardTarget(request.host, request.path, request.key),
        context.fleetView.routing,
        Clocks.read(),
    ).map { if (request.hop == null) it else it.copy(route = it.route.limitedTo(request.hop.maxRuns)) }
}
