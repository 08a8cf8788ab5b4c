package org.godwitwick.node.forward

import org.godwitwick.core.forward.CallerWait
import org.godwitwick.core.forward.limitWaitMs

/**
 * The requests of this instance that wait because all upstreams of their service are limited. Thread safe.
 *
 * @param capacity maximum number of such requests, so that they leave threads for other requests.
 */
class LimitQueue(private val capacity: Int) {
    private val waitingByService = HashMap<String, Int>()

    /**
     * Begins the wait of a request to [service]; returns its duration in milliseconds, or null if the request is to be refused. The
     * other parameters are those of [limitWaitMs].
     */
    @Synchronized
    fun begin(service: String, waitsMs: List<Long>, wait: CallerWait, nowMs: Long): Long? {
        if (waitingByService.values.sum() >= capacity) return null
        val waiting = waitingByService[service] ?: 0
        return limitWaitMs(waitsMs, waiting, wait, nowMs)?.also { waitingByService[service] = waiting + 1 }
    }

    /** Ends a wait that [begin] has begun. */
    @Synchronized
    fun end(service: String) {
        waitingByService.computeIfPresent(service) { _, waiting -> (waiting - 1).takeIf { it > 0 } }
    }
}
