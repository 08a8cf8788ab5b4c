package org.godwitwick.core.claim

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.godwitwick.core.model.InstanceId

/** Identifies one attempt to claim a key. An entry that is appended twice with the same id counts once. */
@JvmInline
@Serializable
value class ClaimId(val value: String) {
    override fun toString(): String = value
}

/** One entry of a claim stream; a log record holds a batch of them. */
@Serializable
sealed interface ClaimEntry {
    val claimId: ClaimId
    val key: ClaimKey
}

/**
 * An attempt to win [key]. The first valid claim in log order wins.
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

/** The upstream answered the call. */
@Serializable
@SerialName("outcome")
data class OutcomeEntry(override val claimId: ClaimId, override val key: ClaimKey, val outcome: Outcome) : ClaimEntry

/** The claimant wrote nothing to an upstream and never will; the claim is void, wherever it lies in the log. */
@Serializable
@SerialName("not_run")
data class NotRunEntry(override val claimId: ClaimId, override val key: ClaimKey) : ClaimEntry

/** The call was dispatched and its answer was lost. */
@Serializable
@SerialName("unknown")
data class UnknownEntry(override val claimId: ClaimId, override val key: ClaimKey) : ClaimEntry

/**
 * The upstream's answer as it is replayed.
 *
 * @property body whole body, or null when it was larger than [MAX_RECORDED_BODY_BYTES].
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class Outcome(val status: Int, val headers: List<OutcomeHeader>, @ByteString val body: ByteArray?)

/** One header of a recorded answer. */
@Serializable
data class OutcomeHeader(val name: String, val value: String)
