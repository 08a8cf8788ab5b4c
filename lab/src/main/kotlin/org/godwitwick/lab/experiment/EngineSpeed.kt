package org.godwitwick.lab.experiment

/**
 * Speed of the modelled engine with continuous batching and chunked prefill.
 *
 * @property contextTokens context at which a prefilled token costs twice the first one's time.
 */
data class EngineSpeed(
    val prefillTokensPerSecond: Double = 20_000.0,
    val stepBaseMs: Double = 4.0,
    val decodeMs: Double = 0.15,
    val chunkTokens: Int = 512,
    val contextTokens: Double = 400_000.0,
    val kvTokens: Int = 400_000,
) {
    /** Time of prefilling [tokens] behind [context] tokens, without the base of the step. */
    fun prefillMs(tokens: Int, context: Int): Double =
        tokens / prefillTokensPerSecond * 1_000.0 * (1 + (context + tokens / 2.0) / contextTokens)

    /** Engine time that a request takes without cache hits, with its part of the step's base. */
    fun demandMs(arrival: Arrival): Double = prefillMs(arrival.promptTokens, 0) +
        arrival.promptTokens.toDouble() / chunkTokens * stepBaseMs + arrival.outTokens * decodeMs
}
