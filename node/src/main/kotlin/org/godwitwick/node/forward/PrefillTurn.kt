package org.godwitwick.node.forward

import org.godwitwick.core.forward.PrefillForecast
import org.slf4j.LoggerFactory

/**
 * Wait of one request at this instance until the engines have less prefill pending. Used by one thread. Times are counted from the
 * arrival of the request.
 */
class PrefillTurn(private val context: ForwardContext, private val requestId: String, private val guard: RunGuard) {
    private var waitingFromMs: Long? = null
    private var service = ""

    /**
     * Begins the wait at [service], unless it has begun; returns false if too many requests wait already. [forecast] is the reason of
     * the wait.
     */
    fun begin(service: String, forecast: PrefillForecast, elapsedMs: Long): Boolean {
        if (waitingFromMs != null) return true
        if (!context.prefillQueue.tryEnter()) return false
        log.info(
            "forward: {} waits for the engines of {}: own prefill {} ms, pending prefill {} ms",
            requestId,
            service,
            forecast.partMs.toLong(),
            forecast.backlogMs.toLong(),
        )
        waitingFromMs = elapsedMs
        this.service = service
        return true
    }

    /** Waits until the request is to be placed again; returns false if it was cancelled meanwhile. */
    fun await(): Boolean {
        // Random, so that instances that wait for the same engines do not place their requests at the same moment.
        return guard.pause(context.random.nextLong(MIN_PAUSE_MS, MAX_PAUSE_MS))
    }

    /** Ends the wait, if there is one. */
    fun end(elapsedMs: Long) {
        val fromMs = waitingFromMs ?: return
        waitingFromMs = null
        context.prefillQueue.leave()
        log.info("forward: {} waited {} ms for the engines", requestId, elapsedMs - fromMs)
        context.metrics.recordWait(service, elapsedMs - fromMs)
    }

    private companion object {
        const val MIN_PAUSE_MS = 20L
        const val MAX_PAUSE_MS = 40L
        val log = LoggerFactory.getLogger(PrefillTurn::class.java)
    }
}
