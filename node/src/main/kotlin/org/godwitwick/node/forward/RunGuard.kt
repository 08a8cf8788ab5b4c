package org.godwitwick.node.forward

import okhttp3.Call
import java.io.IOException

/** Why a send was cancelled. */
enum class CancelReason { CALLER_GONE, TIMEOUT, SILENCE }

/**
 * Ends the sends of one request when its caller leaves, its time is over or its upstream is silent for too long.
 *
 * @property deadlineMs steady time by which the request has ended.
 */
class RunGuard(val deadlineMs: Long) {
    private var call: Call? = null
    private var silentFromMs: Long? = null
    private var silenceLimitMs = 0L

    /** Why the present send, or the whole request, was cancelled; null while it may go on. */
    @Volatile
    var reason: CancelReason? = null
        private set

    /** Why a send failed with [e], for logs: the cancellation that caused it, or else the fault itself. */
    fun causeOf(e: IOException): String =
        reason?.let { "cancelled: ${it.name.lowercase()}" } ?: "${e.javaClass.simpleName}: ${e.message}"

    /** Guards [call] from now on; it may be silent for [silenceLimitMs], or for ever when that is null. */
    @Synchronized
    fun attach(call: Call, silenceLimitMs: Long?, nowMs: Long) {
        if (reason == CancelReason.SILENCE) reason = null
        this.call = call
        expect(silenceLimitMs, nowMs)
        if (reason != null) call.cancel()
    }

    /** Starts the time of silence anew: the next bytes must come within [limitMs]; null for any time. */
    @Synchronized
    fun expect(limitMs: Long?, nowMs: Long) {
        silentFromMs = limitMs?.let { nowMs }
        silenceLimitMs = limitMs ?: 0
    }

    /** Ends the guard of the present send. */
    @Synchronized
    fun detach() {
        call = null
        silentFromMs = null
    }

    /** Cancels all sends of the request because its caller has left. */
    fun callerGone() = cancel(CancelReason.CALLER_GONE)

    /** Cancels the send when its time is over at [nowMs]. */
    fun check(nowMs: Long) {
        if (nowMs >= deadlineMs) return cancel(CancelReason.TIMEOUT)
        val isSilent = synchronized(this) { silentFromMs?.let { nowMs - it >= silenceLimitMs } ?: false }
        if (isSilent) cancel(CancelReason.SILENCE)
    }

    @Synchronized
    private fun cancel(why: CancelReason) {
        if (reason == null) reason = why
        silentFromMs = null
        call?.cancel()
    }
}
