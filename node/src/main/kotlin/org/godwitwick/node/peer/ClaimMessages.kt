package org.godwitwick.node.peer

import kotlinx.serialization.Serializable
import org.godwitwick.core.claim.Claim
import org.godwitwick.core.claim.ClaimEntry
import org.godwitwick.core.claim.ClaimId
import org.godwitwick.core.claim.Outcome

/** Asks the owner of a shard to append [claim] and to decide it within [timeoutMs]. Answered by [ClaimAnswer]. */
@Serializable
data class ClaimRequest(val claim: Claim, val timeoutMs: Long) : PeerMessage

/** The owner's answer about the claim with [claimId]. */
@Serializable
data class ClaimAnswer(val claimId: ClaimId, val ruling: ClaimRuling) : PeerMessage

/** Asks the owner of a shard to append the end of a call. Answered by [ClaimReportAnswer]. */
@Serializable
data class ClaimReport(val entry: ClaimEntry, val timeoutMs: Long) : PeerMessage

/** Whether the reported entry is in the log. */
@Serializable
data class ClaimReportAnswer(val claimId: ClaimId, val isAppended: Boolean) : PeerMessage

/** What a claimant is told about its claim. */
@Serializable
sealed interface ClaimRuling {
    /** The claimant may dispatch the call once. */
    @Serializable
    data class Granted(val fencingNumber: Long) : ClaimRuling

    /** The call ran earlier with this outcome. */
    @Serializable
    data class Replay(val outcome: Outcome) : ClaimRuling

    /** Another claim holds the key or held it at the time of the claim. */
    @Serializable
    data object Pending : ClaimRuling

    /** An earlier call with the key was dispatched and its outcome is not known. */
    @Serializable
    data object OutcomeUnknown : ClaimRuling

    /** The key was used for another body. */
    @Serializable
    data object Mismatch : ClaimRuling

    /** The key is older than the claim window. */
    @Serializable
    data object Expired : ClaimRuling

    /** The key was created in the future. */
    @Serializable
    data object FromFuture : ClaimRuling

    /** The log can't show whether the key is free; [mayBeAppended] is false when the claim is certainly not in the log. */
    @Serializable
    data class LogUnavailable(val message: String, val mayBeAppended: Boolean) : ClaimRuling
}
