package org.godwitwick.core.forward

/**
 * Upstreams that have stated in an answer that they want no requests, because they are leaving or for some time.
 *
 * Answers two faults: the store tells of a leaving upstream late or not at all, as some never register as leaving and the store may be
 * unavailable; and an upstream that has asked an instance to wait gets more requests from it, which it has to refuse as well. Not
 * thread safe.
 */
class UpstreamAbsences {
    private val leaving = HashSet<String>()
    private val waitsUntilMs = HashMap<String, Long>()

    /** The processes of which something is known. */
    val known: Set<String> get() = leaving + waitsUntilMs.keys

    /** Number of upstreams that have stated that they are leaving. */
    val leavingCount: Int get() = leaving.size

    /** Records that the process [upstream] states that it is leaving; returns whether that is new. A process does not change its mind. */
    fun onLeaving(upstream: String): Boolean = leaving.add(upstream)

    /** Records that the process [upstream] wants nothing from this instance for [waitMs]; the latest statement counts. */
    fun onWait(upstream: String, waitMs: Long, nowMs: Long) {
        waitsUntilMs[upstream] = nowMs + waitMs.coerceIn(0, MAX_WAIT_MS)
    }

    /** Whether the process [upstream] may be sent a request at some time. */
    fun isPresent(upstream: String): Boolean = upstream !in leaving

    /** Time until the process [upstream] takes a request of this instance again, in milliseconds; zero if it does now. */
    fun waitMs(upstream: String, nowMs: Long): Long = ((waitsUntilMs[upstream] ?: nowMs) - nowMs).coerceAtLeast(0)

    /** Forgets the processes that are not in [remembered]. */
    fun retain(remembered: Set<String>) {
        leaving.retainAll(remembered)
        waitsUntilMs.keys.retainAll(remembered)
    }

    private companion object {
        /** A longer wait is taken for a fault of the upstream. */
        const val MAX_WAIT_MS = 600_000L
    }
}
