package org.godwitwick.node.http

import org.godwitwick.core.model.GenerateRequest

/** The two shapes in which callers receive an answer. */
sealed interface AnswerFormat {
    /** One streamed part with the text [text]. */
    fun part(request: GenerateRequest, text: String): CompletionAnswer

    /** The whole answer. */
    fun whole(request: GenerateRequest, text: String, usage: Usage): CompletionAnswer
}

/** Answers of `/v1/completions`. */
data object CompletionFormat : AnswerFormat {
    private const val OBJECT = "text_completion"

    override fun part(request: GenerateRequest, text: String) =
        CompletionAnswer(request.id.value, OBJECT, request.model, listOf(Choice(text = text)))

    override fun whole(request: GenerateRequest, text: String, usage: Usage) =
        CompletionAnswer(request.id.value, OBJECT, request.model, listOf(Choice(text = text, finishReason = "stop")), usage)
}

/** Answers of `/v1/chat/completions`. */
data object ChatFormat : AnswerFormat {
    override fun part(request: GenerateRequest, text: String) =
        CompletionAnswer(request.id.value, "chat.completion.chunk", request.model, listOf(Choice(delta = Delta(text))))

    override fun whole(request: GenerateRequest, text: String, usage: Usage): CompletionAnswer {
        val choice = Choice(message = ChatMessage("assistant", text), finishReason = "stop")
        return CompletionAnswer(request.id.value, "chat.completion", request.model, listOf(choice), usage)
    }
}
