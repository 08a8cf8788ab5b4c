package org.godwitwick.node.claim

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import org.godwitwick.core.claim.Claim
import org.godwitwick.core.claim.ClaimEntry
import org.godwitwick.core.claim.ClaimId
import org.godwitwick.core.claim.ClaimKey
import org.godwitwick.core.claim.DispatchGuard
import org.godwitwick.core.claim.DispatchState
import org.godwitwick.core.claim.MAX_RECORDED_BODY_BYTES
import org.godwitwick.core.claim.NotRunEntry
import org.godwitwick.core.claim.Outcome
import org.godwitwick.core.claim.OutcomeEntry
import org.godwitwick.core.claim.OutcomeHeader
import org.godwitwick.core.claim.UnknownEntry
import org.godwitwick.core.claim.keyExpired
import org.godwitwick.core.claim.keyFromFuture
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Executed
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.Deadline
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.peer.ClaimRuling
import org.godwitwick.node.upstream.ServiceAnswer
import org.godwitwick.node.upstream.ServiceCall
import org.godwitwick.node.upstream.ServiceClient
import org.godwitwick.node.upstream.WriteGate
import java.util.UUID

/** Executes non-idempotent calls at most once: claims the key, dispatches the call once and reports how it ended. */
class AtMostOnceCaller(
    private val self: InstanceId,
    private val claims: ClaimClient,
    private val client: ServiceClient,
    private val settings: ClaimSettings,
    private val metrics: ClaimMetrics,
    private val nowMs: () -> Long,
) {
    /**
     * Executes [call] under [key] before [deadline], or replays the answer that is recorded for [key].
     *
     * @param bodyHash hash of method, path, query and body of the call. A key is refused for a call with another hash.
     * @param pickAddress returns the address of a service replica, or null if there is none.
     */
    fun run(
        call: ServiceCall,
        key: ClaimKey,
        bodyHash: String,
        deadline: Deadline,
        pickAddress: () -> String?,
    ): Result<ServiceAnswer, Failure> {
        val startedMs = nowMs()
        val claim = Claim(ClaimId(UUID.randomUUID().toString()), key, bodyHash, self, deadline.remainingMs(startedMs))
        return when (val ruling = rulingOf(claim, minOf(settings.claimTimeoutMs, claim.timeoutMs)).also(metrics::countRuling)) {
            is ClaimRuling.Granted -> {
                val guard = DispatchGuard(minOf(startedMs + settings.dispatchWindowMs, deadline.atMs))
                dispatch(call, claim, ruling.fencingNumber, guard, deadline, pickAddress)
            }

            is ClaimRuling.Replay -> replay(ruling.outcome)

            ClaimRuling.Pending -> Err(Failure(ErrorKind.OUTCOME_PENDING, "a call with this key is running"))

            ClaimRuling.OutcomeUnknown ->
                Err(Failure(ErrorKind.OUTCOME_UNKNOWN, "a call with this key was dispatched and its answer was lost"))

            ClaimRuling.Mismatch -> Err(Failure(ErrorKind.KEY_REUSED, "the Idempotency-Key was used for another call"))

            ClaimRuling.Expired -> Err(keyExpired)

            ClaimRuling.FromFuture -> Err(keyFromFuture)

            is ClaimRuling.LogUnavailable -> failWithoutLog(claim, ruling)
        }
    }

    // A claim that failed unexpectedly may still be in the log.
    private fun rulingOf(claim: Claim, timeoutMs: Long): ClaimRuling = try {
        claims.claim(claim, timeoutMs)
    } catch (e: RuntimeException) {
        ClaimRuling.LogUnavailable("the claim failed: ${e.message}", mayBeAppended = true)
    }

    private fun failWithoutLog(claim: Claim, ruling: ClaimRuling.LogUnavailable): Result<ServiceAnswer, Failure> {
        if (ruling.mayBeAppended) claims.report(NotRunEntry(claim.claimId, claim.key))
        return Err(Failure(ErrorKind.LOG_UNAVAILABLE, "this request was not run: ${ruling.message}"))
    }

    private fun dispatch(
        call: ServiceCall,
        claim: Claim,
        fencingNumber: Long,
        guard: DispatchGuard,
        deadline: Deadline,
        pickAddress: () -> String?,
    ): Result<ServiceAnswer, Failure> {
        val address = pickAddress()
        if (address == null) {
            report(claim, guard.fail())
            return Err(Failure(ErrorKind.NO_UPSTREAM, "no live replica of service ${claim.key.service}"))
        }
        val fenced = call.withHeader(ServiceClient.FENCING_NUMBER, fencingNumber.toString())
        val gate = WriteGate { guard.startDispatch(nowMs()) }
        return client.sendOnce(address, fenced, gate, deadline.remainingMs(nowMs())).fold(
            { answer ->
                report(claim, guard.complete(outcomeOf(answer)))
                if (answer.body == null) Err(answerTooLarge) else Ok(answer)
            },
            { message ->
                val end = guard.fail()
                report(claim, end)
                Err(failureOf(end, message, deadline))
            },
        )
    }

    private fun report(claim: Claim, end: DispatchState) {
        metrics.countEnd(end)
        claims.report(endOf(claim, end))
    }

    private fun endOf(claim: Claim, state: DispatchState): ClaimEntry = when (state) {
        is DispatchState.Done -> OutcomeEntry(claim.claimId, claim.key, state.outcome)
        DispatchState.NotRun -> NotRunEntry(claim.claimId, claim.key)
        DispatchState.Claimed, DispatchState.Dispatching, DispatchState.Unknown -> UnknownEntry(claim.claimId, claim.key)
    }

    private fun failureOf(end: DispatchState, message: String, deadline: Deadline): Failure = when {
        end != DispatchState.NotRun -> Failure(ErrorKind.OUTCOME_UNKNOWN, message)

        deadline.isPast(nowMs()) ->
            Failure(ErrorKind.DEADLINE_EXCEEDED, "the deadline passed before the call was sent", Executed.NO)

        else -> Failure(ErrorKind.UPSTREAM_FAILED, message, Executed.NO)
    }

    private fun outcomeOf(answer: ServiceAnswer) = Outcome(
        answer.status,
        answer.headers.filter { it.first.lowercase() in RECORDED_HEADERS }.map { OutcomeHeader(it.first, it.second) },
        answer.body?.takeIf { it.size <= MAX_RECORDED_BODY_BYTES },
    )

    private fun replay(outcome: Outcome): Result<ServiceAnswer, Failure> {
        val body = outcome.body ?: return Err(answerNotRecorded)
        val headers = outcome.headers.map { it.name to it.value } + (REPLAYED_HEADER to "true")
        return Ok(ServiceAnswer(outcome.status, headers, body))
    }

    private fun ServiceCall.withHeader(name: String, value: String) = ServiceCall(
        id,
        method,
        path,
        query,
        headers + (name to value),
        body,
        share,
    )

    private companion object {
        const val REPLAYED_HEADER = "Idempotency-Replayed"
        val RECORDED_HEADERS = setOf("content-type", "location")
        val answerTooLarge =
            Failure(
                ErrorKind.UPSTREAM_FAILED,
                "the call ran, but its answer is larger than the limit or than the free memory",
                Executed.YES,
            )
        val answerNotRecorded = Failure(
            ErrorKind.CONFLICT,
            "a call with this key ran; its answer was too large to be recorded",
            Executed.YES,
        )
    }
}
