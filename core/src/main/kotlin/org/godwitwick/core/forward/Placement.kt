package org.godwitwick.core.forward

/**
 * An upstream that computes a part of the prefill of another upstream's request.
 *
 * @property reservedTokens KV cache reserved on [upstream] for the prompt; zero if the upstream only takes part in the prefill.
 */
data class Helper(val upstream: UpstreamEntry, val reservedTokens: Long)

/** Upstream selected for a request, and the [helpers] that compute parts of its prefill. */
data class Placement(val upstream: UpstreamEntry, val helpers: List<Helper>)
