package org.godwitwick.node.forward

import org.godwitwick.core.forward.EngineProfile
import org.godwitwick.core.forward.PrefixHolder
import org.godwitwick.core.forward.UpstreamView
import org.godwitwick.core.prefix.HeldPrefixRule
import org.godwitwick.core.prefix.HeldPrefixes
import org.godwitwick.core.prefix.HolderState
import org.godwitwick.core.prefix.PromptPrefix

/**
 * The prefixes that upstreams hold because of requests that this instance has sent them, for deployments whose upstreams keep prompts.
 *
 * @param keptMs time for which upstreams keep a prompt, in milliseconds; must be positive.
 */
class KeptPrompts(keptMs: Long) {
    private val held = HeldPrefixes(keptMs)
    private val rule = HeldPrefixRule(keptMs)

    /** Number of prefixes that are known to be held. */
    val count: Int @Synchronized get() = held.size

    /** Records that the process [upstream] has computed a prompt with [prefixes] at [nowMs]. */
    @Synchronized
    fun onComputed(upstream: String, prefixes: List<PromptPrefix>, nowMs: Long) = held.onComputed(upstream, prefixes, nowMs)

    /** Forgets at [nowMs] what has ended and the processes that are not in [upstreams]. Call it regularly. */
    @Synchronized
    fun retain(upstreams: Set<String>, nowMs: Long) = held.retain(upstreams, nowMs)

    /**
     * The holders of one of [prefixes] for a request with [kvTokens].
     *
     * @param viewOf returns the view of the upstream with the given process key, or null if it is no candidate.
     */
    fun holders(
        prefixes: List<PromptPrefix>,
        kvTokens: Long,
        profile: EngineProfile,
        nowMs: Long,
        viewOf: (String) -> UpstreamView?,
    ): List<PrefixHolder> {
        if (prefixes.isEmpty()) return emptyList()
        val known = synchronized(this) {
            held.holders(prefixes, MAX_HOLDERS, nowMs).mapNotNull { key ->
                held.longestAt(key, prefixes, nowMs)?.let { key to it }
            }
        }
        return known.mapNotNull { (key, prefix) ->
            val view = viewOf(key) ?: return@mapNotNull null
            // The published pace is not asked for, as each question has a price.
            val state = HolderState(view.work.pendingPrefillMs + view.penaltyMs, pace = 1.0, view.work.heldTokens)
            PrefixHolder(view, rule.savedMs(prefix, kvTokens, state, profile))
        }
    }

    private companion object {
        /** Bounds the views of a placement; further holders are found as soon as these are busy. */
        const val MAX_HOLDERS = 4
    }
}
