package org.godwitwick.core.forward

/**
 * State of an upstream as seen by one instance when it places a request.
 *
 * @property work work at the upstream that was sent by this instance or reported by the others.
 * @property penaltyMs added cost for recent failures, in milliseconds.
 */
data class UpstreamView(val entry: UpstreamEntry, val work: UpstreamWork, val penaltyMs: Double)
