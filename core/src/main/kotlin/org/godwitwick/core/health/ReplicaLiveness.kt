package org.godwitwick.core.health

/** Change in the liveness of an engine from one load poll to the next. */
enum class LivenessChange { NONE, DIED, RECOVERED }

/**
 * Liveness of one engine, derived from polls of its load. A changed incarnation counts as a death immediately, failed polls after
 * [FAILED_POLLS] in a row.
 *
 * @property incarnation incarnation in the last report, or null before the first report.
 * @property failedPolls number of failed polls since the last report.
 */
data class ReplicaLiveness(val incarnation: String? = null, val failedPolls: Int = 0) {
    /** Whether the engine is considered dead. */
    val isDead: Boolean get() = failedPolls >= FAILED_POLLS

    /** Returns the liveness after a report of [newIncarnation], and the change. */
    fun onReport(newIncarnation: String): Pair<ReplicaLiveness, LivenessChange> {
        val change = when {
            incarnation != null && incarnation != newIncarnation && !isDead -> LivenessChange.DIED
            isDead -> LivenessChange.RECOVERED
            else -> LivenessChange.NONE
        }
        return ReplicaLiveness(newIncarnation, 0) to change
    }

    /** Returns the liveness after a failed poll, and the change. */
    fun onFailure(): Pair<ReplicaLiveness, LivenessChange> {
        val next = copy(failedPolls = failedPolls + 1)
        return next to if (next.isDead && !isDead) LivenessChange.DIED else LivenessChange.NONE
    }

    companion object {
        /** Number of consecutive failed polls after which an engine counts as dead; a single failure may be a lost packet. */
        const val FAILED_POLLS = 2
    }
}
