package org.godwitwick.core.claim

import org.godwitwick.core.model.InstanceId

/** What a reader of the shard decides about one claim. */
sealed interface ClaimDecision {
    /** The claim is the first for its key. [fencingNumber] is the offset of its record. */
    data class Granted(val fencingNumber: Long) : ClaimDecision

    /** The call ran; its outcome entry has [outcomeClaimId] and lies in the record at [outcomeOffset]. */
    data class Replay(val outcomeOffset: Long, val outcomeClaimId: ClaimId) : ClaimDecision

    /** Another claim holds the key and its call may still end by [expectedByMs], in log time. */
    data class Pending(val claimant: InstanceId, val expectedByMs: Long) : ClaimDecision

    /** The claim lost, and the claim that it lost to has been voided since. A repeat may win. */
    data object Freed : ClaimDecision

    /** The call was dispatched and its answer was lost. */
    data object OutcomeUnknown : ClaimDecision

    /** The key was used for a call with another body. */
    data object Mismatch : ClaimDecision

    /** The key is older than the claim window at the log time of the claim. */
    data object Expired : ClaimDecision

    /** The key's creation time is too far in the future at the log time of the claim. */
    data object FromFuture : ClaimDecision

    /** The log can't show whether the key is free. [mayBeAppended] is false when the claim is certainly not in the log. */
    data class LogUnavailable(val message: String, val mayBeAppended: Boolean) : ClaimDecision
}
