package org.godwitwick.core.claim

import org.godwitwick.core.model.InstanceId

/** Decision of a shard's reader about a claim. */
sealed interface ClaimDecision {
    /** The claim is the first for its key. [fencingNumber] is the offset of its record. */
    data class Granted(val fencingNumber: Long) : ClaimDecision

    /** The call was executed; its outcome entry has [outcomeClaimId] and is in the record at [outcomeOffset]. */
    data class Replay(val outcomeOffset: Long, val outcomeClaimId: ClaimId) : ClaimDecision

    /** Another claim holds the key. Its call is still pending and has its deadline at [expectedByMs], in log time. */
    data class Pending(val claimant: InstanceId, val expectedByMs: Long) : ClaimDecision

    /** The claim lost to another claim that has been voided since. A retry with a new claim may win. */
    data object Freed : ClaimDecision

    /** The call was dispatched and its response was lost. */
    data object OutcomeUnknown : ClaimDecision

    /** The key was used for a call with different content. */
    data object Mismatch : ClaimDecision

    /** The key is older than the claim window at the log time of the claim. */
    data object Expired : ClaimDecision

    /** The key's creation time is too far in the future at the log time of the claim. */
    data object FromFuture : ClaimDecision

    /** The log does not show whether the key is free. [mayBeAppended] is false if the claim is certainly not in the log. */
    data class LogUnavailable(val message: String, val mayBeAppended: Boolean) : ClaimDecision
}
