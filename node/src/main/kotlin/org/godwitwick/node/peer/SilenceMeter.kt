package org.godwitwick.node.peer

/**
 * Measures how long a peer has been silent while this process was running. When the machine is frozen, suspended or short of CPU
 * time, answers that arrive meanwhile are not read, so a pause of this process must not count as silence of the peer.
 *
 * @param periodMs time between two ticks while the process is running.
 */
internal class SilenceMeter(private val periodMs: Long, startMs: Long) {
    private var lastTickMs = startMs
    private var sinceMs = NONE_UNANSWERED
    private var silentMs = 0L

    /**
     * Returns the silence of the peer up to [nowMs], in milliseconds.
     *
     * @param unansweredSinceMs time since which a frame is unanswered and no frame was received, or 0 if nothing is unanswered.
     */
    fun tick(unansweredSinceMs: Long, nowMs: Long): Long {
        val ranMs = (nowMs - lastTickMs).coerceAtMost(MAX_COUNTED_PERIODS * periodMs)
        lastTickMs = nowMs
        silentMs = when (unansweredSinceMs) {
            NONE_UNANSWERED -> 0
            sinceMs -> silentMs + ranMs
            else -> (nowMs - unansweredSinceMs).coerceIn(0, ranMs)
        }
        sinceMs = unansweredSinceMs
        return silentMs
    }

    private companion object {
        const val NONE_UNANSWERED = 0L

        /**
         * Number of periods up to which the time between two ticks counts: a tick may be late by one period, and more is a pause.
         */
        const val MAX_COUNTED_PERIODS = 2
    }
}
