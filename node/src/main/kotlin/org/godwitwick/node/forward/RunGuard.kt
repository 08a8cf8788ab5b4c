package org.godwitwick.node.forward

import okhttp3.Call
import java.io.IOException

/** Why a send was cancelled. */
enum class CancelReason { CALLER_GONE, TIMEOUT, SILENCE }

/**
 * Cancels the sends of one request when its caller disconnects, its deadline passes or its upstream is silent for too long.
 *
 * @property deadlineMs monotonic time by which the request must have ended.
 */
class RunGuard(val deadlineMs: Long) {
    private var call: Call? = null
    private var silentFromMs: Long? = null
    private var silenceLimitMs = 0L

    /** Why the current send or the whole request was cancelled, or null if it was not. */
    @Volatile
    var cancelReason: CancelReason? = null
        private set

    /** Describes for logs why a send failed with [e]: by the cancellation that caused it, otherwise by [e]. */
    fun causeOf(e: IOException): String =
        cancelReason?.let { "cancelled: ${it.name.lowercase()}" } ?: "${e.javaClass.simpleName}: ${e.message}"

    /** Starts to guard [call], which may be silent for [silenceLimitMs]; null means no limit. */
    @Synchronized
    fun attach(call: Call, silenceLimitMs: Long?, nowMs: Long) {
        if (cancelReason == CancelReason.SILENCE) cancelReason = null
        this.call = call
        restartSilenceTimer(silenceLimitMs, nowMs)
        if (cancelReason != null) call.cancel()
    }

    /** Restarts the measurement of silence: the next bytes must arrive within [limitMs]; null means no limit. */
    @Synchronized
    fun restartSilenceTimer(limitMs: Long?, nowMs: Long) {
        silentFromMs = limitMs?.let { nowMs }
        silenceLimitMs = limitMs ?: 0
    }

    /** Stops guarding the current send. */
    @Synchronized
    fun detach() {
        call = null
        silentFromMs = null
    }

    /** Cancels the request because its caller has disconnected. */
    fun onCallerDisconnect() = cancel(CancelReason.CALLER_GONE)

    /** Cancels the request if its deadline has passed at [nowMs], or the current send if it has been silent for too long. */
    fun check(nowMs: Long) {
        if (nowMs >= deadlineMs) return cancel(CancelReason.TIMEOUT)
        val isSilent = synchronized(this) { silentFromMs?.let { nowMs - it >= silenceLimitMs } ?: false }
        if (isSilent) cancel(CancelReason.SILENCE)
    }

    @Synchronized
    private fun cancel(newReason: CancelReason) {
        if (cancelReason == null) cancelReason = newReason
        silentFromMs = null
        call?.cancel()
    }
}
