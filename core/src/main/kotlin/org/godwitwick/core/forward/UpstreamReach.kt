package org.godwitwick.core.forward

/**
 * Decides from the outcomes of connection attempts whether this instance is cut off from all upstreams, as opposed to some upstreams,
 * or all of one service, that have crashed. Not thread safe.
 *
 * Several failures in a row are a suspicion only: requests may all be for a service that is down. It is confirmed by attempts to
 * connect to [doubtful] upstreams, that is, to others than those that have failed.
 */
class UpstreamReach {
    // By address; those that have failed since a connection was last established.
    private val failedAtMs = HashMap<String, Long>()

    /** Whether several upstreams in a row have accepted no connection, so that others are to be tried. */
    val isSuspected: Boolean get() = failedAtMs.size >= MIN_FAILED_UPSTREAMS

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
    }

    /** Those of [upstreams] that have not failed lately; all of them if there are no others. */
    fun doubtful(upstreams: Collection<String>): List<String> =
        upstreams.filterNot { it in failedAtMs }.ifEmpty { upstreams.toList() }

    /** Records that the upstreams tried because of a suspicion have accepted no connection either. */
    fun onSuspicionConfirmed() {
        if (isSuspected) isCutOff = true
    }

    private companion object {
        /** Fewer may well crash at the same time. */
        const val MIN_FAILED_UPSTREAMS = 3

        /** Failures that are further apart have different causes. */
        const val FAILURE_MEMORY_MS = 3_000L
    }
}
