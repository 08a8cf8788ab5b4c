package org.godwitwick.node.forward

import okhttp3.Call
import org.godwitwick.core.forward.SilenceTimer
import java.io.IOException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Why a send was cancelled. */
enum class CancelReason { CALLER_GONE, TIMEOUT, SILENCE, STOPPING }

/** What a [RunGuard] asks before it cancels a silent send. Called from the thread that checks the guards. */
interface SilencePolicy {
    /** Whether the upstreams of the current send are expected to be prefilling at [nowMs]. */
    fun isPrefilling(nowMs: Long): Boolean

    /** Reserves another send at [nowMs] and returns whether there is one; without it, a cancellation would only lose work. */
    fun reserveRetry(nowMs: Long): Boolean
}

/**
 * Cancels the sends of one request when its caller disconnects, its deadline passes or its upstream is silent for too long.
 *
 * @property deadlineMs monotonic time by which the request must have ended.
 */
class RunGuard(val deadlineMs: Long) {
    private var call: Call? = null
    private var silencePolicy: SilencePolicy? = null
    private val silence = SilenceTimer()
    private val cancelled = CountDownLatch(1)
    private var onCancelled: () -> Unit = {}

    /** Why the current send or the whole request was cancelled, or null if it was not. */
    @Volatile
    var cancelReason: CancelReason? = null
        private set

    /** Describes for logs why a send failed with [e]: by the cancellation that caused it, otherwise by [e]. */
    fun causeOf(e: IOException): String =
        cancelReason?.let { "cancelled: ${it.name.lowercase()}" } ?: "${e.javaClass.simpleName}: ${e.message}"

    /** Starts to guard [call], which may be silent for [silenceLimitMs] as far as [policy] allows; null means no limit. */
    @Synchronized
    fun attach(call: Call, silenceLimitMs: Long?, policy: SilencePolicy, nowMs: Long) {
        if (cancelReason == CancelReason.SILENCE) cancelReason = null
        this.call = call
        silencePolicy = policy
        restartSilenceTimer(silenceLimitMs, nowMs)
        if (cancelReason != null) call.cancel()
    }

    /** Restarts the measurement of silence: the next bytes must arrive within [limitMs]; null means no limit. */
    @Synchronized
    fun restartSilenceTimer(limitMs: Long?, nowMs: Long) = silence.restart(limitMs, nowMs)

    /** Stops guarding the current send. */
    @Synchronized
    fun detach() {
        call = null
        silencePolicy = null
        silence.stop()
    }

    /** Cancels the request because its caller has disconnected. */
    fun onCallerDisconnect() = cancel(CancelReason.CALLER_GONE)

    /** Cancels the request because the process is about to end. */
    fun onStopping() = cancel(CancelReason.STOPPING)

    /** Cancels the request if its deadline has passed at [nowMs], or the current send if it has been silent for too long. */
    fun check(nowMs: Long) {
        if (nowMs >= deadlineMs) return cancel(CancelReason.TIMEOUT)
        cancelIfSilent(nowMs)
    }

    @Synchronized
    private fun cancelIfSilent(nowMs: Long) {
        val policy = silencePolicy ?: return
        val isExceeded = silence.isExceeded(nowMs) { policy.isPrefilling(nowMs) }
        if (isExceeded && policy.reserveRetry(nowMs)) cancel(CancelReason.SILENCE)
    }

    /** Waits for [ms], or until the request is cancelled; returns whether it may go on. */
    fun pause(ms: Long): Boolean {
        cancelled.await(ms, TimeUnit.MILLISECONDS)
        return mayGoOn
    }

    /** Whether the whole request was not cancelled. */
    val mayGoOn: Boolean get() = cancelReason.let { it == null || it == CancelReason.SILENCE }

    /** Calls [listener], in place of an earlier one, when the whole request is cancelled; at once if it was. Must not block. */
    @Synchronized
    fun onCancelled(listener: () -> Unit) {
        onCancelled = listener
        if (!mayGoOn) listener()
    }

    @Synchronized
    private fun cancel(newReason: CancelReason) {
        if (cancelReason == null) cancelReason = newReason
        silence.stop()
        if (newReason != CancelReason.SILENCE) {
            cancelled.countDown()
            onCancelled()
        }
        call?.cancel()
    }
}
