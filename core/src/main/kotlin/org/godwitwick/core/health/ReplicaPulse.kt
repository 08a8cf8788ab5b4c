package org.godwitwick.core.health

/** What a poll of an engine's load shows against the poll before. */
enum class PulseChange { NONE, DIED, RECOVERED }

/**
 * Whether one engine lives, judged by polls of its load: a changed incarnation is a death at once, failed polls are one after
 * [FAILED_POLLS] in a row.
 */
data class ReplicaPulse(val incarnation: String? = null, val failedPolls: Int = 0) {
    /** Whether the engine is believed to be dead. */
    val isDead: Boolean get() = failedPolls >= FAILED_POLLS

    /** The pulse after a report of [newIncarnation], and what changed. */
    fun onReport(newIncarnation: String): Pair<ReplicaPulse, PulseChange> {
        val change = when {
            incarnation != null && incarnation != newIncarnation && !isDead -> PulseChange.DIED
            isDead -> PulseChange.RECOVERED
            else -> PulseChange.NONE
        }
        return ReplicaPulse(newIncarnation, 0) to change
    }

    /** The pulse after a failed poll, and what changed. */
    fun onFailure(): Pair<ReplicaPulse, PulseChange> {
        val next = copy(failedPolls = failedPolls + 1)
        return next to if (next.isDead && !isDead) PulseChange.DIED else PulseChange.NONE
    }

    /** Constants of the rule. */
    companion object {
        /** Failed polls in a row after which an engine counts as dead; one may be a lost packet. */
        const val FAILED_POLLS = 2
    }
}
