package org.godwitwick.node.peer

/**
 * Measures for how long a peer has been silent while this process ran. Answers machines that are frozen, suspended or short of processor
 * time: answers that came meanwhile wait unread, so a pause of this process must not count as the peer's silence.
 *
 * @param periodMs time between two ticks of a process that runs.
 */
internal class SilenceMeter(private val periodMs: Long, startMs: Long) {
    private var lastTickMs = startMs
    private var sinceMs = NOTHING_OPEN
    private var silentMs = 0L

    /**
     * The silence up to [nowMs], in milliseconds.
     *
     * @param unansweredSinceMs time since which something is unanswered without any frame received, or 0.
     */
    fun tick(unansweredSinceMs: Long, nowMs: Long): Long {
        val ranMs = (nowMs - lastTickMs).coerceAtMost(MOST_PERIODS * periodMs)
        lastTickMs = nowMs
        silentMs = when (unansweredSinceMs) {
            NOTHING_OPEN -> 0
            sinceMs -> silentMs + ranMs
            else -> (nowMs - unansweredSinceMs).coerceIn(0, ranMs)
        }
        sinceMs = unansweredSinceMs
        return silentMs
    }

    private companion object {
        const val NOTHING_OPEN = 0L

        /** A tick may be late by its period; more is a pause. */
        const val MOST_PERIODS = 2
    }
}
