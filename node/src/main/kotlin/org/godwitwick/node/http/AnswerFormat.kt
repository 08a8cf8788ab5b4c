package org.godwitwick.node.http

import org.godwitwick.core.model.GenerateRequest

/** Builds the streamed and the complete answers of one endpoint. */
sealed interface AnswerFormat {
    /** One chunk of a streamed answer, with the text [text]. */
    fun chunk(request: GenerateRequest, text: String): CompletionAnswer

    /** A complete, unstreamed answer with the text [text]. */
    fun full(request: GenerateRequest, text: String, usage: Usage): CompletionAnswer
}

/** Answer format of `/v1/completions`. */
data object CompletionFormat : AnswerFormat {
    private const val OBJECT = "text_completion"

    override fun chunk(request: GenerateRequest, text: String) =
        CompletionAnswer(request.id.value, OBJECT, request.model, listOf(Choice(text = text)))

    override fun full(request: GenerateRequest, text: String, usage: Usage) =
        CompletionAnswer(request.id.value, OBJECT, request.model, listOf(Choice(text = text, finishReason = "stop")), usage)
}

/** Answer format of `/v1/chat/completions`. */
data object ChatFormat : AnswerFormat {
    override fun chunk(request: GenerateRequest, text: String) =
        CompletionAnswer(request.id.value, "chat.completion.chunk", request.model, listOf(Choice(delta = Delta(text))))

    override fun full(request: GenerateRequest, text: String, usage: Usage): CompletionAnswer {
        val choice = Choice(message = ChatMessage("assistant", text), finishReason = "stop")
        return CompletionAnswer(request.id.value, "chat.completion", request.model, listOf(choice), usage)
    }
}
