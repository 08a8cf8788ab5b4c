package org.godwitwick.node.forward

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.godwitwick.core.forward.ForwardTarget
import org.godwitwick.core.model.Deadline
import org.godwitwick.node.http.CallerWatch
import org.godwitwick.node.http.StreamingUndertow
import org.godwitwick.node.memory.BodyShare
import org.godwitwick.node.memory.readBody
import org.http4k.core.Request
import org.http4k.core.Response
import org.slf4j.LoggerFactory
import java.util.concurrent.TimeUnit

/**
 * Serves callers: checks a request, reads its body and forwards it.
 *
 * @property refusal returns the failure with which all new requests are refused at present, or null.
 * @property onDeadline called with the deadline of each accepted request.
 */
class ForwardHandler(
    private val context: ForwardContext,
    private val runWatch: RunWatch,
    private val maxInFlight: Int,
    private val refusal: () -> Failure?,
    private val onDeadline: (Deadline) -> Unit,
) {
    /** Answers [request]. */
    fun answer(request: Request, caller: CallerWatch): Response {
        val decoded = context.dialect.decode(request).getOrElse { return refuse(it, "") }
        val hop = context.relayHeaders.hopOf(request, decoded.id) ?: return answer(decoded, request, caller)
        val relayed = decoded.copy(headers = decoded.headers.filterNot { RelayHeaders.isOwn(it.first) }, hop = hop)
        return RelayHeaders.withOutcome(answer(relayed, request, caller), RelayOutcome.SERVED)
    }

    private fun answer(decoded: CallerRequest, request: Request, caller: CallerWatch): Response =
        context.bodyMemory.holding { share ->
            forwardDecoded(decoded, request, caller, share).getOrElse { failure ->
                val response = refuse(failure, decoded.id)
                if (decoded.hop == null) response else RelayHeaders.withOutcome(response, outcomeOf(failure))
            }
        }

    // Before a request is placed, only this instance can be overloaded.
    private fun outcomeOf(failure: Failure): RelayOutcome =
        if (failure.kind == ErrorKind.OVERLOADED) RelayOutcome.UNABLE else RelayOutcome.of(failure, wasSent = false)

    private fun forwardDecoded(
        decoded: CallerRequest,
        request: Request,
        caller: CallerWatch,
        share: BodyShare,
    ): Result<Response, Failure> {
        refusal()?.let { return Err(it.copy(retryAfterMs = 0)) }
        val isFull =
            runWatch.count >= maxInFlight || (decoded.hop != null && runWatch.relayedCount >= maxInFlight / MAX_RELAYED_DIVISOR)
        if (isFull) return Err(Failure(ErrorKind.OVERLOADED, "too many requests are in flight"))
        context.client.requestFaultOf(decoded)?.let { return Err(Failure(ErrorKind.BAD_REQUEST, it)) }
        val target = ForwardTarget(decoded.host, decoded.path, decoded.key)
        val admitted = context.admission.admit(target, context.fleetView.routing, Clocks.read()).getOrElse { return Err(it) }
        val arrivedMs = arrivalOf(request)
        val timeoutMs = minOf(decoded.timeoutMs ?: admitted.route.timeoutMs, admitted.route.timeoutMs)
        val limitBytes = context.fleetView.routing.table?.config?.limits?.maxBodyBytes ?: DEFAULT_MAX_BODY_BYTES
        val largestBytes = minOf(limitBytes.toLong(), context.bodyMemory.largestBytes).toInt()
        val body = readBody(request, largestBytes, share).getOrElse { return Err(it) }
        val guard = RunGuard(arrivedMs + timeoutMs)
        onDeadline(Deadline(guard.deadlineMs))
        caller.onDisconnect(guard::onCallerDisconnect)
        runWatch.add(guard, isRelayed = decoded.hop != null)
        return try {
            Ok(ForwardRun(context, decoded, body, arrivedMs, guard, share) { runWatch.remove(guard) }.answer())
        } catch (e: RuntimeException) {
            // A programming error; if the guard were not removed, the request would count as in flight permanently.
            runWatch.remove(guard)
            log.error("forward: request {} failed with an unexpected exception", decoded.id, e)
            Err(Failure(ErrorKind.INTERNAL, "the request could not be handled"))
        }
    }

    private fun arrivalOf(request: Request): Long =
        request.header(StreamingUndertow.ARRIVAL_HEADER)?.toLongOrNull()?.let(TimeUnit.NANOSECONDS::toMillis) ?: Clocks.steadyMs()

    private fun refuse(failure: Failure, id: String): Response {
        log.info("forward: {} refused with {}: {}", id, failure.kind.code, failure.message)
        context.metrics.recordEnd("", failure.kind.code, null, 0)
        return context.dialect.failureResponse(failure, id)
    }

    private companion object {
        const val DEFAULT_MAX_BODY_BYTES = 4 shl 20

        /** Leaves half of the requests in flight to the callers of this instance. */
        const val MAX_RELAYED_DIVISOR = 2
        val log = LoggerFactory.getLogger(ForwardHandler::class.java)
    }
}
