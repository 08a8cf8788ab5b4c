package org.godwitwick.node.upstream

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Body of `POST /v1/generate` at an engine. */
@Serializable
data class EngineGenerate(
    @SerialName("request_id") val requestId: String,
    val model: String,
    val prompt: String,
    @SerialName("max_tokens") val maxTokens: Int,
    val priority: Int,
    @SerialName("resume_tokens") val resumeTokens: List<String> = emptyList(),
    @SerialName("context_holds") val contextHolds: List<String> = emptyList(),
    @SerialName("deadline_at_ms") val deadlineAtMs: Long,
)

/** One event of an engine's answer stream: a token, or the end, or an error. */
@Serializable
data class EngineEvent(
    @SerialName("request_id") val requestId: String,
    val index: Int? = null,
    val token: String? = null,
    val done: Boolean = false,
    val tokens: Int? = null,
    val error: String? = null,
)
