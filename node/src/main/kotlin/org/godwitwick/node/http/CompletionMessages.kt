package org.godwitwick.node.http

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Body of `POST /v1/completions`. */
@Serializable
data class CompletionRequest(
    val model: String,
    val prompt: String,
    @SerialName("max_tokens") val maxTokens: Int = 64,
    val stream: Boolean = false,
)

/** Body of `POST /v1/chat/completions`. */
@Serializable
data class ChatRequest(
    val model: String,
    val messages: List<ChatMessage>,
    @SerialName("max_tokens") val maxTokens: Int = 64,
    val stream: Boolean = false,
) {
    /** The prompt that the messages stand for. */
    fun toPrompt(): String = messages.joinToString("\n") { "${it.role}: ${it.content}" }
}

/** One message of a chat. */
@Serializable
data class ChatMessage(val role: String, val content: String)

/** A whole answer or one streamed part of it. */
@Serializable
data class CompletionAnswer(
    val id: String,
    val `object`: String,
    val model: String,
    val choices: List<Choice>,
    val usage: Usage? = null,
)

/** Text of an answer: [text] for completions, [message] or [delta] for chats. */
@Serializable
data class Choice(
    val index: Int = 0,
    val text: String? = null,
    val message: ChatMessage? = null,
    val delta: Delta? = null,
    @SerialName("finish_reason") val finishReason: String? = null,
)

/** The new content of a streamed chat answer. */
@Serializable
data class Delta(val content: String)

/** Token counts of a whole answer. */
@Serializable
data class Usage(@SerialName("prompt_tokens") val promptTokens: Int, @SerialName("completion_tokens") val completionTokens: Int)
