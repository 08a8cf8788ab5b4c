package org.godwitwick.standins.engine

/**
 * Time and memory model of a stand-in engine. Model time runs [timeScale] times as fast as real time.
 *
 * @property prefillTokensPerSecond speed of prefill in model time, shared by all prompts in chunks.
 * @property prefillChunkTokens tokens that are prefilled before the engine looks for a prompt of higher priority.
 * @property tokenGapMs model time between tokens of a request that decodes alone.
 * @property decodeSlowdown fraction by which each further decoding request lengthens the token gap.
 * @property timeScale model milliseconds for each real millisecond.
 * @property kvCapacityTokens KV memory, in tokens.
 */
data class EngineSpec(
    val prefillTokensPerSecond: Double = 20_000.0,
    val prefillChunkTokens: Int = 2_048,
    val tokenGapMs: Double = 25.0,
    val decodeSlowdown: Double = 0.01,
    val timeScale: Double = 1.0,
    val kvCapacityTokens: Int = 400_000,
) {
    /** Model time that the prefill of [tokens] tokens takes. */
    fun prefillMs(tokens: Int): Double = tokens / prefillTokensPerSecond * MS_PER_SECOND

    /** Model time between tokens while [decoding] requests decode. */
    fun gapMs(decoding: Int): Double = tokenGapMs * (1 + decodeSlowdown * (decoding - 1).coerceAtLeast(0))

    private companion object {
        const val MS_PER_SECOND = 1_000.0
    }
}

/** Why an engine refuses work, as the `reason` of its answer. */
enum class Refusal(val reason: String, val httpStatus: Int) {
    KV_FULL("kv_full", 429),
    DUPLICATE("duplicate_request", 409),
    UNKNOWN_HOLD("unknown_hold", 404),
    HOLD_TOO_SMALL("hold_too_small", 409),
}
