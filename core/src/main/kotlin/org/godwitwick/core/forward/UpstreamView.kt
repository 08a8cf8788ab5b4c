package org.godwitwick.core.forward

/**
 * What an instance knows of an upstream when it places a request.
 *
 * @property pendingReadMs reading that this instance sent there and that has not ended, in milliseconds of the engine's time.
 * @property running requests that this instance has there, reads included.
 * @property helping reads of other engines' prompts that it does for this instance.
 * @property heldTokens KV memory that this instance's requests take there.
 * @property penaltyMs disadvantage for recent failures, in milliseconds.
 */
data class UpstreamView(
    val entry: UpstreamEntry,
    val pendingReadMs: Double,
    val running: Int,
    val helping: Int,
    val heldTokens: Long,
    val penaltyMs: Double,
)
