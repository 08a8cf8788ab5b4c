package org.godwitwick.core.model

/** Estimated characters for each token of a prompt; engines count exactly, placement needs only an estimate. */
const val CHARS_PER_TOKEN = 4

/**
 * One admitted model request.
 *
 * @property prompt the prompt's text; never logged.
 * @property maxTokens upper bound of generated tokens.
 * @property priority level at the engine; 0 is first.
 * @property deadline the request's one deadline.
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
