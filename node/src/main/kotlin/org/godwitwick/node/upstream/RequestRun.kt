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

/** One admitted request from its first dispatch to its end, over all attempts. Only [cancel] is called by other threads. */
internal class RequestRun(
    private val request: GenerateRequest,
    private val fingerprint: Fingerprint,
    private val parts: RunParts,
    private val onEnd: () -> Unit,
) : TokenStream {
    private val dispatcher = Dispatcher(request, fingerprint, parts, ::track)
    private val sent = ArrayList<String>()
    private val excluded = HashSet<InstanceId>()
    private val cancelSignal = CountDownLatch(1)
    private val isClosed = AtomicBoolean()
    private var attempt: Attempt? = null
    private var dispatches = 0
    private var failures = 0
    private var pauses = 0
    private var mayHaveRun = false
    private var wasSuspect = false
    private var end: TokenEvent? = null

    @Volatile
    private var currentCall: Call? = null

    /** The organisation that may cancel the request. */
    val organisation: OrganisationId get() = request.organisation

    private val isCancelled: Boolean get() = cancelSignal.count == 0L

    /** Dispatches until an engine has accepted the request; returns the failure if none does. */
    fun open(): Failure? {
        while (attempt == null) step()?.let { return it }
        return null
    }

    override fun next(): TokenEvent {
        while (true) {
            end?.let { return it }
            val failure = stopReason()
            val current = attempt
            when {
                failure != null -> fail(failure)
                current == null -> step()?.let(::fail)
                else -> read(current)?.let { return it }
            }
        }
    }

    /** Ends the request soon; its stream fails with `cancelled`. */
    fun cancel() {
        cancelSignal.countDown()
        currentCall?.cancel()
    }

    private fun track(call: Call) {
        currentCall = call
        if (isCancelled) call.cancel()
    }

    private fun read(current: Attempt): TokenEvent? = when (val event = current.stream.next()) {
        is EngineStreamEvent.Token -> {
            if (sent.isEmpty()) current.replicas.forEach { parts.selector.onFirstToken(it.id, request, parts.nowMs()) }
            sent += event.text
            TokenEvent.Token(event.index, event.text)
        }

        is EngineStreamEvent.Done -> TokenEvent.Done(event.tokens).also {
            parts.guard.onSuccess(fingerprint, request.id, parts.nowMs())
            release(current, DispatchEnd.COMPLETE)
            end = it
            onEnd()
        }

        is EngineStreamEvent.Prefilled -> null.also { lose(current, EngineFailure.Misbehaved("handle in place of a token")) }

        is EngineStreamEvent.Failed -> null.also { lose(current, event.failure) }
    }

    private fun lose(current: Attempt, failure: EngineFailure) {
        val reason = stopReason()
        if (reason != null) return fail(reason)
        release(current, DispatchEnd.BROKEN, keepsEntries = true)
        val ending = afterFailure(Opening.Failed(current.engine, failure, current.entries, current.holds.isNotEmpty()))
        if (ending != null) fail(ending)
    }

    // One attempt to dispatch; returns the failure that ends the request, or null to go on.
    private fun step(): Failure? {
        stopReason()?.let { return it }
        if (failures >=
            if (sent.isEmpty()) MAX_FAILURES else MAX_FAILURES_RESUMING
        ) {
            return exhausted("$failures dispatches failed")
        }
        val verdict = parts.guard.verdict(fingerprint, parts.nowMs())
        if (verdict == SuspicionVerdict.QUARANTINED) return refuseQuarantined()
        if (verdict == SuspicionVerdict.PENDING) {
            cancelSignal.await(SETTLE_POLL_MS, TimeUnit.MILLISECONDS)
            return null
        }
        val isSuspect = verdict == SuspicionVerdict.SUSPECT
        wasSuspect = wasSuspect || isSuspect
        return when (val opening = dispatcher.open(dispatches, excluded, isSuspect, sent)) {
            is Opening.Opened -> {
                dispatches++
                mayHaveRun = true
                attempt = opening.attempt
                null
            }

            is Opening.NotPlaced -> afterNotPlaced(opening.failure, isSuspect)

            is Opening.Failed -> {
                dispatches++
                afterFailure(opening)
            }
        }
    }

    // Engines that failed this request before are better than none; a suspect waits until an engine is free of other suspects.
    private fun afterNotPlaced(failure: Failure, isSuspect: Boolean): Failure? {
        if (excluded.isEmpty() && !isSuspect) return if (mayHaveRun) exhausted(failure.message) else failure
        excluded.clear()
        failures += if (isSuspect) 0 else 1
        pause()
        return null
    }

    private fun afterFailure(opening: Opening.Failed): Failure? {
        val failure = opening.failure
        // A lost connection may have delivered the request, also where that is no evidence of a crash.
        val isUncertain = failure !is EngineFailure.Refused && failure !is EngineFailure.NotReached
        if (isUncertain) mayHaveRun = true
        val reason = stopReason()
        if (reason == null && failure is EngineFailure.ConnectionLost && failure.wasAccepted) judgeLoss(opening)
        opening.entries.forEach(parts.inFlight::leave)
        if (reason != null) return reason
        if (opening.isGroup && failure is EngineFailure.Refused) {
            // Another group may hold the engines for long, so the group tries again until its deadline.
            pause()
            return null
        }
        failures++
        excluded += opening.engine.id
        if (parts.guard.verdict(fingerprint, parts.nowMs()) == SuspicionVerdict.QUARANTINED) return refuseQuarantined()
        return if (isUncertain) takeRetry() else null
    }

    private fun refuseQuarantined(): Failure {
        parts.counters.quarantines.increment()
        return quarantined(if (mayHaveRun) Executed.UNKNOWN else Executed.NO)
    }

    private fun takeRetry(): Failure? {
        if (!parts.takeRetry(parts.nowMs())) {
            parts.counters.budgetRefusals.increment()
            return Failure(ErrorKind.UPSTREAM_FAILED, "engine failed and the retry budget is used up")
        }
        parts.counters.retries.increment()
        return null
    }

    // An engine is dead when, after a lost connection, its load poll fails or shows another incarnation.
    private fun judgeLoss(opening: Opening.Failed) {
        val entry = opening.entries.lastOrNull { it.engine == opening.engine.id } ?: return
        val probeMs = minOf(PROBE_MS, request.deadline.remainingMs(parts.nowMs()))
        val report = parts.engines.load(opening.engine.address, probeMs).component1()
        val isDead = report == null || (report.incarnation != entry.incarnation && entry.incarnation != UNKNOWN_INCARNATION)
        if (!isDead) return
        val listed = parts.knowledge.listed(entry.engine)
        val nowMs = parts.nowMs()
        val death = EngineDeath(entry.engine, entry.incarnation, listed?.dataCentre ?: "", listed?.rack ?: "", nowMs)
        val inFlight = parts.inFlight.on(entry.engine, entry.incarnation)
        val reported = parts.knowledge.lastReport(entry.engine)?.takeIf { it.incarnation == entry.incarnation }?.running ?: 0
        parts.guard.onDeath(death, inFlight.map { it.fingerprint }.toSet(), inFlight.size == 1 && reported <= 1, nowMs)
    }

    private fun exhausted(message: String): Failure {
        val kind = if (mayHaveRun) ErrorKind.UPSTREAM_FAILED else ErrorKind.OVERLOADED
        return Failure(kind, "no engine could run the request: $message")
    }

    private fun stopReason(): Failure? {
        val ran = if (mayHaveRun) Executed.UNKNOWN else Executed.NO
        return when {
            isCancelled -> Failure(ErrorKind.CANCELLED, "the request was cancelled", ran)

            request.deadline.remainingMs(parts.nowMs()) <= DEADLINE_SLACK_MS ->
                Failure(ErrorKind.DEADLINE_EXCEEDED, "the deadline passed", ran)

            else -> null
        }
    }

    private fun pause() {
        val delayMs = groupRetryDelayMs(++pauses, ThreadLocalRandom.current().nextDouble())
        cancelSignal.await(minOf(delayMs, request.deadline.remainingMs(parts.nowMs())), TimeUnit.MILLISECONDS)
    }

    private fun fail(failure: Failure) {
        attempt?.let { release(it, DispatchEnd.CANCELLED) }
        end = TokenEvent.Failed(failure)
        finish()
    }

    private fun finish() {
        if (wasSuspect) parts.guard.onEnd(fingerprint, request.id)
        onEnd()
    }

    private fun release(ended: Attempt, how: DispatchEnd, keepsEntries: Boolean = false) {
        attempt = null
        ended.stream.close()
        if (how != DispatchEnd.COMPLETE) parts.cleanup.cancel(ended.engine.address, ended.dispatchId)
        ended.holds.forEach { parts.cleanup.release(it.address, it.holdId) }
        if (!keepsEntries) ended.entries.forEach(parts.inFlight::leave)
        ended.replicas.forEach { parts.selector.onEnd(it.id, request, how, parts.nowMs()) }
    }

    override fun close() {
        if (!isClosed.compareAndSet(false, true)) return
        if (end == null) fail(Failure(ErrorKind.CANCELLED, "the caller left"))
    }

    private companion object {
        const val UNKNOWN_INCARNATION = "unknown"
        const val PROBE_MS = 500L
        const val SETTLE_POLL_MS = 20L

        // A request that many engines refused or failed is not worth another dispatch.
        const val MAX_FAILURES = 16

        // Tokens that the caller already has are worth more attempts.
        const val MAX_FAILURES_RESUMING = 128

        // OkHttp's timeout of a call and the deadline end in the same millisecond; less than this is no time to dispatch again.
        const val DEADLINE_SLACK_MS = 2L
    }
}
