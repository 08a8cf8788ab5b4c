package org.godwitwick.core.forward

/**
 * Longest pauses between events that the routes of a service allow, in milliseconds.
 *
 * @property shortMs the smallest of these targets, which is that of short prompts.
 * @property longMs mean of the other targets, or [shortMs] if there are no others.
 */
data class PauseTargets(val shortMs: Double, val longMs: Double) {
    companion object {
        /** The targets of the streaming routes among [routes] to [service], or null if there are none. */
        fun of(routes: List<ForwardRoute>, service: String): PauseTargets? {
            val targets = routes.filter { route -> route.gapTargetMs > 0 && route.split.any { it.service == service } }
                .map { it.gapTargetMs.toDouble() }
            val shortest = targets.minOrNull() ?: return null
            val others = targets.filter { it > shortest }
            return PauseTargets(shortest, if (others.isEmpty()) shortest else others.average())
        }
    }
}
