package org.godwitwick.core.prefix

/**
 * A prefix that an upstream was known to hold.
 *
 * @property ageMs time since the upstream last used it, in milliseconds.
 */
data class HeldPrefix(val prefix: PromptPrefix, val ageMs: Long)

/**
 * What one instance tells another about a prefix.
 *
 * @property upstream process of the upstream that holds it; a process that starts again has another key.
 * @property ageMs time since the upstream last used it, in milliseconds.
 */
data class HeldPrefixRow(val upstream: String, val prefix: PromptPrefix, val ageMs: Long)

/**
 * The prefixes that the upstreams hold, as known to one instance: from the requests that it has sent itself and from what other
 * instances report. Not thread safe.
 *
 * An entry ends [keptMs] after its last use, with the process of its upstream, or when [maxPerUpstream] later ones have been added,
 * whichever is first; an upstream evicts in a similar order.
 *
 * @param keptMs time for which the upstreams keep a prompt, as the configuration states it, in milliseconds.
 * @param maxPerUpstream bounds the entries of one upstream and thus the memory and what is reported.
 */
class HeldPrefixes(private val keptMs: Long, private val maxPerUpstream: Int = MAX_PER_UPSTREAM) {
    private class Entry(val prefix: PromptPrefix, val usedAtMs: Long)

    // By process of the upstream, then by key; the least recently used entry first.
    private val entries = HashMap<String, LinkedHashMap<Int, Entry>>()

    /** Number of entries. */
    val size: Int get() = entries.values.sumOf { it.size }

    /** Records that [upstream] has computed the prefixes of a prompt, [prefixes], at [nowMs]. */
    fun onComputed(upstream: String, prefixes: List<PromptPrefix>, nowMs: Long) = prefixes.forEach { put(upstream, it, nowMs) }

    /** Adds what another instance reports, unless a later use is known. */
    fun onRow(row: HeldPrefixRow, nowMs: Long) {
        if (row.ageMs < keptMs) put(row.upstream, row.prefix, nowMs - row.ageMs)
    }

    private fun put(upstream: String, prefix: PromptPrefix, usedAtMs: Long) {
        val held = entries.getOrPut(upstream) { LinkedHashMap() }
        val known = held[prefix.key]
        if (known != null && known.usedAtMs >= usedAtMs) return
        held.remove(prefix.key)
        held[prefix.key] = Entry(prefix, usedAtMs)
        if (held.size > maxPerUpstream) held.remove(held.minBy { it.value.usedAtMs }.key)
    }

    /** Processes that are known to hold one of [prefixes] at [nowMs]; the holders of longer ones first, at most [limit]. */
    fun holders(prefixes: List<PromptPrefix>, limit: Int, nowMs: Long): List<String> = entries.keys
        .mapNotNull { upstream -> longestAt(upstream, prefixes, nowMs)?.let { upstream to it } }
        .sortedWith(compareByDescending<Pair<String, HeldPrefix>> { it.second.prefix.tokens }.thenBy { it.second.ageMs })
        .take(limit)
        .map { it.first }

    /** The longest of [prefixes] that [upstream] is known to hold at [nowMs], or null if there is none. */
    fun longestAt(upstream: String, prefixes: List<PromptPrefix>, nowMs: Long): HeldPrefix? {
        val held = entries[upstream] ?: return null
        for (i in prefixes.indices.reversed()) {
            val entry = held[prefixes[i].key] ?: continue
            val ageMs = nowMs - entry.usedAtMs
            if (ageMs < keptMs) return HeldPrefix(entry.prefix, ageMs.coerceAtLeast(0))
        }
        return null
    }

    /** Removes what has ended at [nowMs] and what processes other than [upstreams] held. Call it regularly. */
    fun retain(upstreams: Set<String>, nowMs: Long) {
        entries.keys.retainAll(upstreams)
        entries.values.forEach { held -> held.values.removeIf { nowMs - it.usedAtMs >= keptMs } }
        entries.values.removeIf { it.isEmpty() }
    }

    /** The [count] longest prefixes that were used last, for a report to other instances at [nowMs]. */
    fun rows(count: Int, nowMs: Long): List<HeldPrefixRow> = entries.flatMap { (upstream, held) ->
        held.values.filter { nowMs - it.usedAtMs < keptMs }.map { HeldPrefixRow(upstream, it.prefix, nowMs - it.usedAtMs) }
    }.sortedWith(compareByDescending<HeldPrefixRow> { it.prefix.tokens }.thenBy { it.ageMs }).take(count)

    private companion object {
        const val MAX_PER_UPSTREAM = 32
    }
}
