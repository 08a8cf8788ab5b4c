package org.godwitwick.core.forward

/** Size of a model request: the tokens of its prompt and the maximum number of tokens of its answer. */
data class RequestSize(val promptTokens: Long, val maxAnswerTokens: Long) {
    /** Maximum KV cache that the request occupies, in tokens; reached at its end. */
    val kvTokens: Long get() = promptTokens + maxAnswerTokens

    /** Whether the prompt is short: its prefill on one engine takes much less time than the allowed pause of a short stream. */
    val isShort: Boolean get() = promptTokens < SHORT_BELOW_TOKENS

    private companion object {
        /** At the published speed of the engines, the prefill of such a prompt takes about half of the shortest target pause. */
        const val SHORT_BELOW_TOKENS = 20_000L
    }
}
