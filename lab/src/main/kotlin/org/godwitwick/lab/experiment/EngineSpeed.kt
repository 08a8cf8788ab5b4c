package org.godwitwick.lab.experiment

/**
 * Speed of the modelled engine with continuous batching and chunked prefill.
 *
 * @property contextTokens context length at which prefilling a token takes twice as long as with no context.
 * @property kvTokens capacity of the KV cache.
 */
data class EngineSpeed(
    val prefillTokensPerSecond: Double = 20_000.0,
    val stepBaseMs: Double = 4.0,
    val decodeMs: Double = 0.15,
    val chunkTokens: Int = 512,
    val contextTokens: Double = 400_000.0,
    val kvTokens: Int = 400_000,
) {
    /** Time in milliseconds of prefilling [tokens] that follow [context] tokens, without [stepBaseMs]. */
    fun prefillMs(tokens: Int, context: Int): Double =
        tokens / prefillTokensPerSecond * 1_000.0 * (1 + (context + tokens / 2.0) / contextTokens)

    /** Engine time in milliseconds of [arrival] without cache hits, with its share of [stepBaseMs]. */
    fun demandMs(arrival: Arrival): Double = prefillMs(arrival.promptTokens, 0) +
        arrival.promptTokens.toDouble() / chunkTokens * stepBaseMs + arrival.outputTokens * decodeMs
}
