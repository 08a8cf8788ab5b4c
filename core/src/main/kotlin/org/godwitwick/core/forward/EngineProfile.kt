package org.godwitwick.core.forward

/**
 * Published speed and memory of the model engines of a service.
 *
 * @property slots maximum number of concurrent requests of an engine; also the maximum number of prefills of other
 *   engines that it assists concurrently.
 * @property kvCapacityTokens capacity of the KV cache, in tokens.
 * @property prefillTokensPerMs prompt tokens processed per millisecond, without the cost of attention.
 * @property attentionMsPerMillionPairs attention time per million pairs of a token and an earlier token, in milliseconds.
 * @property passMs time between two events of a stream if the engine does nothing else, in milliseconds.
 */
data class EngineProfile(
    val slots: Int,
    val kvCapacityTokens: Long,
    val prefillTokensPerMs: Double,
    val attentionMsPerMillionPairs: Double,
    val passMs: Double = 0.0,
) {
    /** Prefill time of a prompt of [tokens] tokens on a single engine, in milliseconds. */
    fun prefillMs(tokens: Long): Double {
        val pairs = tokens.toDouble() * tokens / 2
        return tokens / prefillTokensPerMs + pairs / PAIRS_PER_MILLION * attentionMsPerMillionPairs
    }

    private companion object {
        const val PAIRS_PER_MILLION = 1e6
    }
}
