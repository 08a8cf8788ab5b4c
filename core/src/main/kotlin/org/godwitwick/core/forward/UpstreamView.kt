package org.godwitwick.core.forward

/**
 * What an instance knows of an upstream when it places a request.
 *
 * @property work the work of all instances there, this one's and what the others told of theirs.
 * @property penaltyMs disadvantage for recent failures, in milliseconds.
 */
data class UpstreamView(val entry: UpstreamEntry, val work: UpstreamWork, val penaltyMs: Double)
