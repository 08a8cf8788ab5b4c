package org.godwitwick.core.claim

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.godwitwick.core.model.InstanceId

/** Identifies an attempt to claim a key. A claim that is appended twice with the same id counts once. */
@JvmInline
@Serializable
value class ClaimId(val value: String) {
    override fun toString(): String = value
}

/** An entry of a claim stream. A log record contains a batch of entries. */
@Serializable
sealed interface ClaimEntry {
    val claimId: ClaimId
    val key: ClaimKey
}

/**
 * An attempt to claim [key]. The first valid claim in log order wins.
 *
 * @property bodyHash hash of method, path, query and body of the call.
 * @property claimant the only instance that may dispatch the call.
 * @property timeoutMs time from the claim to the call's deadline.
 */
@Serializable
@SerialName("claim")
data class Claim(
    override val claimId: ClaimId,
    override val key: ClaimKey,
    val bodyHash: String,
    val claimant: InstanceId,
    val timeoutMs: Long,
) : ClaimEntry

/** The upstream responded to the call. */
@Serializable
@SerialName("outcome")
data class OutcomeEntry(override val claimId: ClaimId, override val key: ClaimKey, val outcome: Outcome) : ClaimEntry

/** The claimant sent nothing to an upstream and never will. The claim is void, whether it precedes or follows this entry. */
@Serializable
@SerialName("not_run")
data class NotRunEntry(override val claimId: ClaimId, override val key: ClaimKey) : ClaimEntry

/** The call was dispatched and its response was lost. */
@Serializable
@SerialName("unknown")
data class UnknownEntry(override val claimId: ClaimId, override val key: ClaimKey) : ClaimEntry

/**
 * An upstream response as recorded for replay.
 *
 * @property body complete body, or null if it was larger than [MAX_RECORDED_BODY_BYTES].
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class Outcome(val status: Int, val headers: List<OutcomeHeader>, @ByteString val body: ByteArray?)

/** A header of a recorded response. */
@Serializable
data class OutcomeHeader(val name: String, val value: String)
