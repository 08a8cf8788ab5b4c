package org.godwitwick.core.forward

/**
 * Upstreams that have stated in an answer that they are leaving.
 *
 * Answers the fault that the store tells of a leaving upstream late or not at all: some upstreams never register as leaving, and the
 * store may be unavailable. Not thread safe.
 */
class UpstreamAbsences {
    private val leaving = HashSet<String>()

    /** Number of upstreams that have stated that they are leaving. */
    val leavingCount: Int get() = leaving.size

    /** Records that the process [upstream] states that it is leaving; returns whether that is new. A process does not change its mind. */
    fun onLeaving(upstream: String): Boolean = leaving.add(upstream)

    /** Whether the process [upstream] may be sent a request. */
    fun mayReceive(upstream: String): Boolean = upstream !in leaving

    /** Forgets the processes that are not in [registered]. */
    fun retain(registered: Set<String>) {
        leaving.retainAll(registered)
    }
}
