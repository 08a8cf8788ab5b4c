package org.godwitwick.core.health

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Load report of an engine, as returned by `GET /v1/load`. It lags behind the actual load.
 *
 * @property queuedPrefillByPriority [queuedPrefillTokens] by priority; empty if the engine does not distinguish priorities.
 * @property prefillTokensPerSecond prefill speed reported by the engine, or null if it reports none.
 */
@Serializable
data class EngineLoadReport(
    val incarnation: String,
    @SerialName("queued_prefill_tokens") val queuedPrefillTokens: Int = 0,
    @SerialName("queued_prefill_by_priority") val queuedPrefillByPriority: List<Long> = emptyList(),
    @SerialName("prefill_tokens_per_second") val prefillTokensPerSecond: Double? = null,
    val running: Int = 0,
    @SerialName("kv_used") val kvUsedTokens: Int = 0,
    @SerialName("kv_capacity") val kvCapacityTokens: Int,
    val leaving: Boolean = false,
)
