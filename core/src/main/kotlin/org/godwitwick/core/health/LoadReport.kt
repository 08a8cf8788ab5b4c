package org.godwitwick.core.health

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * An engine's load report, as `GET /v1/load` gives it. It lags behind the truth.
 *
 * @property queuedPrefillByPriority [queuedPrefillTokens] by priority; empty from an engine that doesn't tell them apart.
 * @property prefillTokensPerSecond speed that the engine states for itself, or null.
 */
@Serializable
data class LoadReport(
    val incarnation: String,
    @SerialName("queued_prefill_tokens") val queuedPrefillTokens: Int = 0,
    @SerialName("queued_prefill_by_priority") val queuedPrefillByPriority: List<Long> = emptyList(),
    @SerialName("prefill_tokens_per_second") val prefillTokensPerSecond: Double? = null,
    val running: Int = 0,
    @SerialName("kv_used") val kvUsedTokens: Int = 0,
    @SerialName("kv_capacity") val kvCapacityTokens: Int,
    val leaving: Boolean = false,
)
