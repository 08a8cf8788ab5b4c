package org.godwitwick.standins.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
internal data class GenerateMessage(
    @SerialName("request_id") val requestId: String,
    val prompt: String,
    @SerialName("max_tokens") val maxTokens: Int,
    val priority: Int = 0,
    @SerialName("resume_tokens") val resumeTokens: List<String> = emptyList(),
    @SerialName("context_holds") val contextHolds: List<String> = emptyList(),
    @SerialName("hold_id") val holdId: String? = null,
)

@Serializable
internal data class PrefillMessage(
    @SerialName("request_id") val requestId: String,
    @SerialName("hold_id") val holdId: String,
    val segment: String,
    val priority: Int = 0,
    @SerialName("context_holds") val contextHolds: List<String> = emptyList(),
)

@Serializable
internal data class CancelMessage(@SerialName("request_id") val requestId: String)

@Serializable
internal data class HoldMessage(
    @SerialName("hold_id") val holdId: String,
    @SerialName("request_id") val requestId: String,
    val owner: String,
    @SerialName("owner_incarnation") val ownerIncarnation: String,
    @SerialName("expires_at_ms") val expiresAtMs: Long,
    val tokens: Int,
)

@Serializable
internal data class HoldList(val incarnation: String, val holds: List<HoldMessage>)

@Serializable
internal data class LoadMessage(
    val incarnation: String,
    @SerialName("queued_prefill_tokens") val queuedPrefillTokens: Int,
    @SerialName("queued_prefill_by_priority") val queuedPrefillByPriority: List<Long>,
    @SerialName("prefill_tokens_per_second") val prefillTokensPerSecond: Double,
    val running: Int,
    @SerialName("kv_used") val kvUsed: Int,
    @SerialName("kv_capacity") val kvCapacity: Int,
    val leaving: Boolean,
)

@Serializable
internal data class CacheEventMessage(val seq: Long, val type: String, val hash: String)

@Serializable
internal data class CacheEventList(val incarnation: String, val events: List<CacheEventMessage>)

@Serializable
internal data class KvExportMessage(val prompt: String)

@Serializable
internal data class KvBlocksMessage(val blocks: List<String>)

@Serializable
internal data class OrderMessage(val slot: String, val target: String, @SerialName("fencing_number") val fencingNumber: Long)

@Serializable
internal data class OrderAnswer(val target: String, @SerialName("fencing_number") val fencingNumber: Long)

@Serializable
internal data class FaultMessage(val fault: String, val value: String = "")
