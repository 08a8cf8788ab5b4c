package org.godwitwick.core.prefix

import org.godwitwick.core.forward.EngineProfile

/**
 * State of an engine that matters for a prefix that it holds.
 *
 * @property waitMs time until it would begin the prefill, in milliseconds.
 * @property pace factor on its published times; above 1 for a slow engine.
 * @property heldTokens KV cache used by running and queued requests, in tokens.
 */
data class HolderState(val waitMs: Double, val pace: Double, val heldTokens: Long)

/**
 * Weighs what a held prefix saves against what it costs to use it.
 *
 * Designed for a burst of requests with the same prefix beside others. Always sending them to the engine that holds the prefix would
 * queue them all there, so the rule returns a time that the caller subtracts from the engine's other costs: the engine wins only while
 * its additional wait is shorter than the prefill that it saves.
 */
class HeldPrefixRule(private val keptMs: Long, private val settings: HeldPrefixSettings = HeldPrefixSettings()) {
    /**
     * Expected prefill time that is saved if a request with [kvTokens] goes to the engine that holds [held], in milliseconds; zero if
     * the prefix will probably be gone.
     */
    fun savedMs(held: HeldPrefix, kvTokens: Long, holder: HolderState, profile: EngineProfile): Double {
        // The tokens after the prefix are still computed, with their attention to it, so what is saved is the prefill of the prefix
        // alone.
        val savedMs = profile.prefillMs(held.prefix.tokens) * holder.pace
        return savedMs * stillHeldChance(held, holder.waitMs) * memoryShare(held, kvTokens, holder, profile)
    }

    // An engine evicts the least recently used prefixes first, so the chance falls with the age that the prefix will have when the
    // request's turn comes.
    private fun stillHeldChance(held: HeldPrefix, waitMs: Double): Double =
        (1 - (held.ageMs + waitMs) / keptMs).coerceIn(0.0, 1.0)

    // A kept prefix takes memory that running requests may need. Near the capacity it is evicted for them, or they are preempted for it.
    private fun memoryShare(held: HeldPrefix, kvTokens: Long, holder: HolderState, profile: EngineProfile): Double {
        val added = (kvTokens - held.prefix.tokens).coerceAtLeast(0)
        val free = profile.kvCapacityTokens - holder.heldTokens - held.prefix.tokens - added
        return (free / (profile.kvCapacityTokens * settings.freeMemoryShare)).coerceIn(0.0, 1.0)
    }
}

/**
 * Settings of [HeldPrefixRule].
 *
 * @property freeMemoryShare fraction of an engine's KV cache that must stay free for the full value of a held prefix; with less, the
 *   arrivals of the next seconds take its memory.
 */
data class HeldPrefixSettings(val freeMemoryShare: Double = 0.2)
