package org.godwitwick.node.upstream

import okhttp3.Call
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Executed
import org.godwitwick.core.error.Failure
import org.godwitwick.core.group.groupRetryDelayMs
import org.godwitwick.core.health.EngineDeath
import org.godwitwick.core.health.Fingerprint
import org.godwitwick.core.health.SuspicionVerdict
import org.godwitwick.core.model.GenerateRequest
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.OrganisationId
import java.util.concurrent.CountDownLatch
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

/**
 * The execution of an admitted request from its first dispatch to its end, over all attempts. Not thread-safe, except that
 * [cancel] may be called by any thread.
 */
internal class RequestRun(
    private val request: GenerateRequest,
    private val fingerprint: Fingerprint,
    private val context: RunContext,
    private val onEnd: () -> Unit,
) : TokenStream {
    private val dispatcher = Dispatcher(request, fingerprint, context, ::track)
    private val sent = ArrayList<String>()
    private val excluded = HashSet<InstanceId>()
    private val cancelLatch = CountDownLatch(1)
    private val isClosed = AtomicBoolean()
    private var attempt: Attempt? = null
    private var dispatches = 0
    private var failures = 0
    private var backOffs = 0
    private var mayHaveRun = false
    private var wasSuspect = false
    private var end: TokenEvent? = null

    @Volatile
    private var currentCall: Call? = null

    /** The organisation that may cancel the request. */
    val organisation: OrganisationId get() = request.organisation

    private val isCancelled: Boolean get() = cancelLatch.count == 0L

    /** Dispatches until an engine accepts the request. Returns null on success, or the failure that ended the request. */
    fun open(): Failure? {
        while (attempt == null) tryDispatch()?.let { return it }
        return null
    }

    override fun next(): TokenEvent {
        while (true) {
            end?.let { return it }
            val failure = stopReason()
            val current = attempt
            when {
                failure != null -> fail(failure)
                current == null -> tryDispatch()?.let(::fail)
                else -> read(current)?.let { return it }
            }
        }
    }

    /** Requests cancellation without waiting for it; the stream then fails with `cancelled`. */
    fun cancel() {
        cancelLatch.countDown()
        currentCall?.cancel()
    }

    private fun track(call: Call) {
        currentCall = call
        if (isCancelled) call.cancel()
    }

    private fun read(current: Attempt): TokenEvent? = when (val event = current.stream.next()) {
        is EngineStreamEvent.Token -> {
            if (sent.isEmpty()) current.replicas.forEach { context.selector.onFirstToken(it.id, request, context.nowMs()) }
            sent += event.text
            TokenEvent.Token(event.index, event.text)
        }

        is EngineStreamEvent.Done -> TokenEvent.Done(event.tokens).also {
            context.guard.onSuccess(fingerprint, request.id, context.nowMs())
            release(current, DispatchEnd.COMPLETE)
            end = it
            onEnd()
        }

        is EngineStreamEvent.Prefilled -> null.also {
            onStreamFailure(current, EngineFailure.ProtocolViolation("engine sent the handle of a segment instead of a token"))
        }

        is EngineStreamEvent.Failed -> null.also { onStreamFailure(current, event.failure) }
    }

    private fun onStreamFailure(current: Attempt, failure: EngineFailure) {
        val reason = stopReason()
        if (reason != null) return fail(reason)
        release(current, DispatchEnd.BROKEN, keepEntries = true)
        val finalFailure =
            afterFailure(DispatchResult.Failed(current.engine, failure, current.entries, current.holds.isNotEmpty()))
        if (finalFailure != null) fail(finalFailure)
    }

    // Makes one attempt to dispatch. Returns the failure that ends the request, or null if the request goes on.
    private fun tryDispatch(): Failure? {
        stopReason()?.let { return it }
        if (failures >=
            if (sent.isEmpty()) MAX_FAILURES else MAX_FAILURES_RESUMING
        ) {
            return exhausted("$failures dispatches failed")
        }
        val verdict = context.guard.verdict(fingerprint, context.nowMs())
        if (verdict == SuspicionVerdict.QUARANTINED) return refuseQuarantined()
        if (verdict == SuspicionVerdict.PENDING) {
            cancelLatch.await(PENDING_VERDICT_POLL_MS, TimeUnit.MILLISECONDS)
            return null
        }
        val isSuspect = verdict == SuspicionVerdict.SUSPECT
        wasSuspect = wasSuspect || isSuspect
        return when (val result = dispatcher.open(dispatches, excluded, isSuspect, sent)) {
            is DispatchResult.Accepted -> {
                dispatches++
                mayHaveRun = true
                attempt = result.attempt
                null
            }

            is DispatchResult.NotPlaced -> afterNotPlaced(result.failure, isSuspect)

            is DispatchResult.Failed -> {
                dispatches++
                afterFailure(result)
            }
        }
    }

    // If no other engine can be selected, those that already failed this request are tried again. A suspect waits until an engine
    // runs no other suspect.
    private fun afterNotPlaced(failure: Failure, isSuspect: Boolean): Failure? {
        if (excluded.isEmpty() && !isSuspect) return if (mayHaveRun) exhausted(failure.message) else failure
        excluded.clear()
        failures += if (isSuspect) 0 else 1
        backOff()
        return null
    }

    private fun afterFailure(result: DispatchResult.Failed): Failure? {
        val failure = result.failure
        // The request may have reached the engine before the connection was lost, even if the loss is no evidence of a crash.
        val isUncertain = failure !is EngineFailure.Refused && failure !is EngineFailure.Unreachable
        if (isUncertain) mayHaveRun = true
        val reason = stopReason()
        if (reason == null && failure is EngineFailure.ConnectionLost && failure.wasAccepted) recordDeathIfEngineDied(result)
        result.entries.forEach(context.inFlight::remove)
        if (reason != null) return reason
        if (result.isGroup && failure is EngineFailure.Refused) {
            // Another group may occupy the engines for a long time, so the group is retried until the deadline.
            backOff()
            return null
        }
        failures++
        excluded += result.engine.id
        if (context.guard.verdict(fingerprint, context.nowMs()) == SuspicionVerdict.QUARANTINED) return refuseQuarantined()
        return if (isUncertain) takeRetry() else null
    }

    private fun refuseQuarantined(): Failure {
        context.counters.quarantines.increment()
        return quarantined(if (mayHaveRun) Executed.UNKNOWN else Executed.NO)
    }

    private fun takeRetry(): Failure? {
        if (!context.takeRetry(context.nowMs())) {
            context.counters.budgetRefusals.increment()
            return Failure(ErrorKind.UPSTREAM_FAILED, "the engine failed and the retry budget is exhausted")
        }
        context.counters.retries.increment()
        return null
    }

    // After a lost connection, an engine is considered dead if a load poll fails or reports another incarnation.
    private fun recordDeathIfEngineDied(result: DispatchResult.Failed) {
        val entry = result.entries.lastOrNull { it.engine == result.engine.id } ?: return
        val probeTimeoutMs = minOf(LOAD_PROBE_TIMEOUT_MS, request.deadline.remainingMs(context.nowMs()))
        val report = context.engines.load(result.engine.address, probeTimeoutMs).component1()
        val isDead = report == null || (report.incarnation != entry.incarnation && entry.incarnation != UNKNOWN_INCARNATION)
        if (!isDead) return
        val listed = context.replicaStatus.listed(entry.engine)
        val nowMs = context.nowMs()
        val death = EngineDeath(entry.engine, entry.incarnation, listed?.dataCentre ?: "", listed?.rack ?: "", nowMs)
        val inFlight = context.inFlight.entriesOn(entry.engine, entry.incarnation)
        val running = context.replicaStatus.lastReport(entry.engine)?.takeIf { it.incarnation == entry.incarnation }?.running ?: 0
        context.guard.onDeath(death, inFlight.map { it.fingerprint }.toSet(), inFlight.size == 1 && running <= 1, nowMs)
    }

    private fun exhausted(message: String): Failure {
        val kind = if (mayHaveRun) ErrorKind.UPSTREAM_FAILED else ErrorKind.OVERLOADED
        return Failure(kind, "no engine could run the request: $message")
    }

    private fun stopReason(): Failure? {
        val ran = if (mayHaveRun) Executed.UNKNOWN else Executed.NO
        return when {
            isCancelled -> Failure(ErrorKind.CANCELLED, "the request was cancelled", ran)

            request.deadline.remainingMs(context.nowMs()) <= MIN_REMAINING_MS ->
                Failure(ErrorKind.DEADLINE_EXCEEDED, "the deadline passed", ran)

            else -> null
        }
    }

    private fun backOff() {
        val delayMs = groupRetryDelayMs(++backOffs, ThreadLocalRandom.current().nextDouble())
        cancelLatch.await(minOf(delayMs, request.deadline.remainingMs(context.nowMs())), TimeUnit.MILLISECONDS)
    }

    private fun fail(failure: Failure) {
        attempt?.let { release(it, DispatchEnd.CANCELLED) }
        end = TokenEvent.Failed(failure)
        finish()
    }

    private fun finish() {
        if (wasSuspect) context.guard.onEnd(fingerprint, request.id)
        onEnd()
    }

    private fun release(ended: Attempt, dispatchEnd: DispatchEnd, keepEntries: Boolean = false) {
        attempt = null
        ended.stream.close()
        if (dispatchEnd != DispatchEnd.COMPLETE) context.cleanup.cancel(ended.engine.address, ended.dispatchId)
        ended.holds.forEach { context.cleanup.release(it.address, it.holdId) }
        if (!keepEntries) ended.entries.forEach(context.inFlight::remove)
        ended.replicas.forEach { context.selector.onEnd(it.id, request, dispatchEnd, context.nowMs()) }
    }

    override fun close() {
        if (!isClosed.compareAndSet(false, true)) return
        if (end == null) fail(Failure(ErrorKind.CANCELLED, "the caller closed the stream before its end"))
    }

    private companion object {
        const val UNKNOWN_INCARNATION = "unknown"
        const val LOAD_PROBE_TIMEOUT_MS = 500L
        const val PENDING_VERDICT_POLL_MS = 20L

        // A request that this many engines refused or failed is unlikely to succeed on another one.
        const val MAX_FAILURES = 16

        // Higher than MAX_FAILURES, because the tokens that the caller already has justify more attempts.
        const val MAX_FAILURES_RESUMING = 128

        // The call timeout of OkHttp expires in the same millisecond as the deadline; with less time left, another dispatch is
        // pointless.
        const val MIN_REMAINING_MS = 2L
    }
}
