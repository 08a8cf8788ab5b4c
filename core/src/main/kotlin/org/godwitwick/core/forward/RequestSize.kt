package org.godwitwick.core.forward

/** Tokens of a model request: those of the prompt and at most those of the answer. */
data class RequestSize(val promptTokens: Long, val maxAnswerTokens: Long) {
    /** Tokens that the request holds in KV memory at its end. */
    val memoryTokens: Long get() = promptTokens + maxAnswerTokens

    /** Whether the prompt is short: one engine reads it well within the pause that a short stream may make. */
    val isShort: Boolean get() = promptTokens < SHORT_BELOW_TOKENS

    private companion object {
        /** At the published speed of the engines, about half of the shortest target pause. */
        const val SHORT_BELOW_TOKENS = 20_000L
    }
}
