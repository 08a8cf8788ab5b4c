package org.godwitwick.standins.engine

/**
 * Parameters of a simulated engine. Model time runs [timeScale] times as fast as real time.
 *
 * @property prefillTokensPerSecond prefill speed in model time; chunks of different prompts share it.
 * @property prefillChunkTokens largest number of tokens prefilled before a prompt of higher priority can take over.
 * @property tokenGapMs model time between tokens while a single request decodes.
 * @property decodeSlowdown fraction by which each further decoding request lengthens the token gap.
 * @property timeScale model milliseconds per real millisecond.
 * @property kvCapacityTokens capacity of the KV cache, in tokens.
 */
data class EngineSpec(
    val prefillTokensPerSecond: Double = 20_000.0,
    val prefillChunkTokens: Int = 2_048,
    val tokenGapMs: Double = 25.0,
    val decodeSlowdown: Double = 0.01,
    val timeScale: Double = 1.0,
    val kvCapacityTokens: Int = 400_000,
) {
    /** Model time needed to prefill [tokens] tokens. */
    fun prefillMs(tokens: Int): Double = tokens / prefillTokensPerSecond * MS_PER_SECOND

    /** Model time between tokens while [decoding] requests decode. */
    fun gapMs(decoding: Int): Double = tokenGapMs * (1 + decodeSlowdown * (decoding - 1).coerceAtLeast(0))

    private companion object {
        const val MS_PER_SECOND = 1_000.0
    }
}

/** Why an engine refuses a request; [reason] is the `reason` field of the response. */
enum class Refusal(val reason: String, val httpStatus: Int) {
    KV_FULL("kv_full", 429),
    DUPLICATE("duplicate_request", 409),
    UNKNOWN_HOLD("unknown_hold", 404),
    HOLD_TOO_SMALL("hold_too_small", 409),
}
