package org.godwitwick.core.forward

/** Tokens of a model request: those of the prompt and at most those of the answer. */
data class RequestSize(val promptTokens: Long, val maxAnswerTokens: Long) {
    /** Tokens that the request holds in KV memory at its end. */
    val memoryTokens: Long get() = promptTokens + maxAnswerTokens
}
