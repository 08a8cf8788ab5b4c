package org.godwitwick.core.health

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An engine's load report, as `GET /v1/load` gives it. It lags behind the truth. */
@Serializable
data class LoadReport(
    val incarnation: String,
    @SerialName("queued_prefill_tokens") val queuedPrefillTokens: Int = 0,
    val running: Int = 0,
    @SerialName("kv_used") val kvUsedTokens: Int = 0,
    @SerialName("kv_capacity") val kvCapacityTokens: Int,
    val leaving: Boolean = false,
)
