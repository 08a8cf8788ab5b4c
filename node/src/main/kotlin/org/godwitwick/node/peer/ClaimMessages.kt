package org.godwitwick.node.peer

import kotlinx.serialization.Serializable
import org.godwitwick.core.claim.Claim
import org.godwitwick.core.claim.ClaimEntry
import org.godwitwick.core.claim.ClaimId
import org.godwitwick.core.claim.Outcome

/** Request to the owner of a shard to append [claim] and decide it within [timeoutMs]. Answered by [ClaimAnswer]. */
@Serializable
data class ClaimRequest(val claim: Claim, val timeoutMs: Long) : PeerMessage

/** The owner's decision on the claim with [claimId]. */
@Serializable
data class ClaimAnswer(val claimId: ClaimId, val ruling: ClaimRuling) : PeerMessage

/** Request to the owner of a shard to append [entry], the end of a call, within [timeoutMs]. Answered by [ClaimReportAnswer]. */
@Serializable
data class ClaimReport(val entry: ClaimEntry, val timeoutMs: Long) : PeerMessage

/** Answer to a [ClaimReport]: whether its entry was appended to the log. */
@Serializable
data class ClaimReportAnswer(val claimId: ClaimId, val isAppended: Boolean) : PeerMessage

/** Decision of a shard's owner on a claim. */
@Serializable
sealed interface ClaimRuling {
    /** The claimant may dispatch the call once. */
    @Serializable
    data class Granted(val fencingNumber: Long) : ClaimRuling

    /** The call ran earlier with this outcome. */
    @Serializable
    data class Replay(val outcome: Outcome) : ClaimRuling

    /** Another claim holds the key, or held it when this claim was made. */
    @Serializable
    data object Pending : ClaimRuling

    /** An earlier call with the key was dispatched, and its outcome is unknown. */
    @Serializable
    data object OutcomeUnknown : ClaimRuling

    /** The key was used with a different request body. */
    @Serializable
    data object Mismatch : ClaimRuling

    /** The key is older than the claim window. */
    @Serializable
    data object Expired : ClaimRuling

    /** The creation time of the key is in the future. */
    @Serializable
    data object FromFuture : ClaimRuling

    /** The log cannot show whether the key is unused. [mayBeAppended] is false if the claim is certainly not in the log. */
    @Serializable
    data class LogUnavailable(val message: String, val mayBeAppended: Boolean) : ClaimRuling
}
