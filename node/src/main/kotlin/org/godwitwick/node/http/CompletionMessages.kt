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
    /** Joins the messages into one prompt, with a line `role: content` for each message. */
    fun toPrompt(): String = messages.joinToString("\n") { "${it.role}: ${it.content}" }
}

/** One message of a chat. */
@Serializable
data class ChatMessage(val role: String, val content: String)

/** A complete answer or one chunk of a streamed answer. */
@Serializable
data class CompletionAnswer(
    val id: String,
    val `object`: String,
    val model: String,
    val choices: List<Choice>,
    val usage: Usage? = null,
)

/** Text of an answer: [text] for completions, [message] for complete chat answers, [delta] for streamed ones. */
@Serializable
data class Choice(
    val index: Int = 0,
    val text: String? = null,
    val message: ChatMessage? = null,
    val delta: Delta? = null,
    @SerialName("finish_reason") val finishReason: String? = null,
)

/** The text that one chunk adds to a streamed chat answer. */
@Serializable
data class Delta(val content: String)

/** Token counts of a complete answer. */
@Serializable
data class Usage(@SerialName("prompt_tokens") val promptTokens: Int, @SerialName("completion_tokens") val completionTokens: Int)
