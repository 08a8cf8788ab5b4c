package org.godwitwick.core.model

/** Estimated number of characters per prompt token. Engines count tokens exactly; placement needs only an estimate. */
const val CHARS_PER_TOKEN = 4

/**
 * An admitted request to a model.
 *
 * @property prompt text of the prompt; must not be logged.
 * @property maxTokens maximum number of tokens to generate.
 * @property priority scheduling priority at the engine; 0 is the highest.
 * @property deadline the request's deadline; there is no other per hop or attempt.
 */
data class GenerateRequest(
    val id: RequestId,
    val organisation: OrganisationId,
    val model: String,
    val prompt: String,
    val maxTokens: Int,
    val promptClass: PromptClass,
    val deadline: Deadline,
    val priority: Int = promptClass.ordinal,
) {
    /** Estimated length of the prompt in tokens. */
    val promptTokens: Int get() = estimateTokens(prompt)

    companion object {
        /** Estimated length of [text] in tokens. */
        fun estimateTokens(text: String): Int = (text.length + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN
    }
}
