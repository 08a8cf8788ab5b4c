package org.godwitwick.core.forward

/**
 * Decides how long a request waits for an upstream that is limited, in milliseconds, or returns null if it is to be refused.
 *
 * Answers the load pattern in which all upstreams of a service are cold, so that the requests of an instance compete for its few sends.
 * A request waits only for a send that no earlier one waits for, and that comes in time for its target.
 *
 * @param waitsMs times until this instance may send to each of the upstreams, in ascending order.
 * @param waiting number of requests that wait for these upstreams already.
 */
fun limitWaitMs(waitsMs: List<Long>, waiting: Int, wait: CallerWait, nowMs: Long): Long? =
    waitsMs.getOrNull(waiting)?.takeIf { nowMs + it < minOf(wait.sinceMs + wait.targetMs, wait.leavesAtMs) }
