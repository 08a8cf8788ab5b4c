package org.godwitwick.core.forward

/**
 * Decides from the outcomes of connection attempts whether this instance is cut off from all upstreams, as opposed to some upstreams
 * that have crashed. Not thread safe.
 */
class UpstreamReach {
    // By address; those that have failed since a connection was last established.
    private val failedAtMs = HashMap<String, Long>()

    /** Whether no connection can be established. */
    var isCutOff = false
        private set

    /** Records that a connection to an upstream was established. */
    fun onConnected() {
        failedAtMs.clear()
        isCutOff = false
    }

    /** Records that no connection to the upstream at [address] could be established at [nowMs]. */
    fun onConnectFailed(address: String, nowMs: Long) {
        failedAtMs.values.removeAll { nowMs - it >= FAILURE_MEMORY_MS }
        failedAtMs[address] = nowMs
        if (failedAtMs.size >= MIN_FAILED_UPSTREAMS) isCutOff = true
    }

    private companion object {
        /** Fewer may well crash at the same time. */
        const val MIN_FAILED_UPSTREAMS = 3

        /** Failures that are further apart have different causes. */
        const val FAILURE_MEMORY_MS = 3_000L
    }
}
