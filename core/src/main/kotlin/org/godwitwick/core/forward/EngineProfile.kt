package org.godwitwick.core.forward

/**
 * The published speed and memory of a service's model engines.
 *
 * @property slots requests that run at once; also the number of others' reads that an engine helps with.
 * @property memoryTokens tokens that the KV memory holds.
 * @property readTokensPerMs prompt tokens read in a millisecond.
 * @property pairsMsPerMillion time for a million pairs of a token and an earlier one, in milliseconds.
 */
data class EngineProfile(val slots: Int, val memoryTokens: Long, val readTokensPerMs: Double, val pairsMsPerMillion: Double) {
    /** Time in which one engine reads a prompt of [tokens] alone, in milliseconds. */
    fun readMs(tokens: Long): Double {
        val pairs = tokens.toDouble() * tokens / 2
        return tokens / readTokensPerMs + pairs / PAIRS_PER_MILLION * pairsMsPerMillion
    }

    private companion object {
        const val PAIRS_PER_MILLION = 1e6
    }
}
