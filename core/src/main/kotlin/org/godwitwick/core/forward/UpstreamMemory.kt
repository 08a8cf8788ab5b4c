package org.godwitwick.core.forward

/**
 * Decides how long what is known of an upstream's process outlasts its registration.
 *
 * Registrations expire while the store is unavailable and return later; what the upstream has stated holds meanwhile. Not thread
 * safe.
 */
class UpstreamMemory {
    private val missingSinceMs = HashMap<String, Long>()

    /** Returns those of [known] that are [registered], or were not for less than [FORGET_MS] at [nowMs]. Call it regularly. */
    fun remembered(known: Set<String>, registered: Set<String>, nowMs: Long): Set<String> {
        missingSinceMs.keys.retainAll(known - registered)
        return known.filterTo(HashSet()) { process ->
            process in registered || nowMs - missingSinceMs.getOrPut(process) { nowMs } < FORGET_MS
        }
    }

    private companion object {
        /** Several times the outages of the store after which upstreams register again. */
        const val FORGET_MS = 120_000L
    }
}
