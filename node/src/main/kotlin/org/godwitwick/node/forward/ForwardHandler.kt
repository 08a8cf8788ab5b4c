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
import org.http4k.core.Request
import org.http4k.core.Response
import org.slf4j.LoggerFactory
import java.util.concurrent.TimeUnit

/**
 * Answers callers: checks their requests, reads the bodies and forwards.
 *
 * @property refusal the failure that every new request gets now, or null.
 * @property onDeadline told the deadline of each request that is accepted.
 */
class ForwardHandler(
    private val parts: ForwardParts,
    private val watch: RunWatch,
    private val maxInFlight: Int,
    private val refusal: () -> Failure?,
    private val onDeadline: (Deadline) -> Unit,
) {
    /** Answers [request]. */
    fun answer(request: Request, caller: CallerWatch): Response {
        val decoded = parts.dialect.decode(request).getOrElse { return refused(it, "") }
        return accepted(decoded, request, caller).getOrElse { refused(it, decoded.id) }
    }

    private fun accepted(decoded: CallerRequest, request: Request, caller: CallerWatch): Result<Response, Failure> {
        refusal()?.let { return Err(it.copy(retryAfterMs = 0)) }
        if (watch.count >= maxInFlight) return Err(Failure(ErrorKind.OVERLOADED, "too many requests are in flight"))
        parts.client.faultOf(decoded)?.let { return Err(Failure(ErrorKind.BAD_REQUEST, it)) }
        val target = ForwardTarget(decoded.host, decoded.path, decoded.key)
        val admitted = parts.admission.admit(target, parts.knowledge.config, Clocks.read()).getOrElse { return Err(it) }
        val arrivedMs = arrivalOf(request)
        val timeoutMs = minOf(decoded.patienceMs ?: admitted.route.timeoutMs, admitted.route.timeoutMs)
        val limitBytes = parts.knowledge.config.table?.config?.limits?.maxBodyBytes ?: DEFAULT_MAX_BODY_BYTES
        val body = readBody(request, limitBytes).getOrElse { return Err(it) }
        val guard = RunGuard(arrivedMs + timeoutMs)
        onDeadline(Deadline(guard.deadlineMs))
        caller.onDisconnect(guard::callerGone)
        watch.add(guard)
        return try {
            Ok(ForwardRun(parts, decoded, body, arrivedMs, guard) { watch.remove(guard) }.answer())
        } catch (e: RuntimeException) {
            // A fault of this program; without its guard the request would count as in flight for ever.
            watch.remove(guard)
            log.error("forward: {} failed", decoded.id, e)
            Err(Failure(ErrorKind.INTERNAL, "the request could not be handled"))
        }
    }

    private fun arrivalOf(request: Request): Long =
        request.header(StreamingUndertow.ARRIVAL_HEADER)?.toLongOrNull()?.let(TimeUnit.NANOSECONDS::toMillis) ?: Clocks.steadyMs()

    private fun refused(failure: Failure, id: String): Response {
        log.info("forward: {} refused with {}: {}", id, failure.kind.code, failure.message)
        parts.metrics.ended("", failure.kind.code, null, 0)
        return parts.dialect.failureResponse(failure, id)
    }

    private companion object {
        const val DEFAULT_MAX_BODY_BYTES = 4 shl 20
        val log = LoggerFactory.getLogger(ForwardHandler::class.java)
    }
}
