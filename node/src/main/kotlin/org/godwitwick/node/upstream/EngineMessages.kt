package org.godwitwick.node.upstream

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Body of `POST /v1/generate` at an engine.
 *
 * @property resumeTokens tokens that the caller already has; the engine continues after them.
 * @property contextHolds handles of the segments that precede [prompt] and are prefilled on other engines.
 * @property holdId the hold on this engine to generate in, or null if none was reserved.
 * @property deadlineAtMs Unix time in milliseconds.
 */
@Serializable
data class EngineGenerate(
    @SerialName("request_id") val requestId: String,
    val model: String,
    val prompt: String,
    @SerialName("max_tokens") val maxTokens: Int,
    val priority: Int,
    @SerialName("resume_tokens") val resumeTokens: List<String> = emptyList(),
    @SerialName("context_holds") val contextHolds: List<String> = emptyList(),
    @SerialName("hold_id") val holdId: String? = null,
    @SerialName("deadline_at_ms") val deadlineAtMs: Long,
)

/** Body of `POST /v1/prefill` at an engine: a segment of a prompt to prefill into a hold. */
@Serializable
data class EnginePrefill(
    @SerialName("request_id") val requestId: String,
    @SerialName("hold_id") val holdId: String,
    val segment: String,
    val priority: Int,
    @SerialName("context_holds") val contextHolds: List<String>,
)

/** An event of the answer stream of an engine: a token, the handle of a prefilled segment, the end of the answer, or an error. */
@Serializable
data class EngineEvent(
    @SerialName("request_id") val requestId: String,
    val index: Int? = null,
    val token: String? = null,
    val handle: String? = null,
    val done: Boolean = false,
    val tokens: Int? = null,
    val error: String? = null,
)

/** Body of `POST /v1/cancel` at an engine. */
@Serializable
data class EngineCancel(@SerialName("request_id") val requestId: String)

/**
 * KV memory reserved on an engine. The engine never frees it on its own: the owner or the watcher of the replica releases it. The
 * watcher does so after the expiry or when the owner has ended.
 *
 * @property holdId id chosen by the owner, which can therefore release a hold even if the reply to the reservation was lost.
 * @property expiresAtMs Unix time in milliseconds.
 */
@Serializable
data class EngineHold(
    @SerialName("hold_id") val holdId: String,
    @SerialName("request_id") val requestId: String,
    val owner: String,
    @SerialName("owner_incarnation") val ownerIncarnation: String,
    @SerialName("expires_at_ms") val expiresAtMs: Long,
    val tokens: Int,
)

/** Answer to `GET /v1/holds` at an engine. */
@Serializable
data class EngineHoldList(val holds: List<EngineHold>)

/** Body of `POST /v1/orders` at an engine. */
@Serializable
data class EngineOrderMessage(val slot: String, val target: String, @SerialName("fencing_number") val fencingNumber: Long)

/** Body of an error answer of an engine. */
@Serializable
data class EngineRefusal(val reason: String = "")
