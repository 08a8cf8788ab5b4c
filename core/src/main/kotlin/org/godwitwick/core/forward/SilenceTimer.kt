package org.godwitwick.core.forward

/**
 * Measures how long an upstream has sent nothing for a request without a known reason. Not thread safe.
 *
 * Designed for bursts of long prompts: an engine sends no events while it prefills, which may take seconds. If that silence were
 * taken for a failure, the work would be cancelled and prefilled again on another engine, whose streams would then fall silent as
 * well. Time during which the engine is known to prefill therefore does not count.
 */
class SilenceTimer {
    private var silentFromMs: Long? = null
    private var unexplainedFromMs = 0L
    private var limitMs = 0L

    /** Starts a new measurement at [nowMs]: the upstream may be silent for [limitMs] from now; null means no limit. */
    fun restart(limitMs: Long?, nowMs: Long) {
        silentFromMs = limitMs?.let { nowMs }
        unexplainedFromMs = nowMs
        this.limitMs = limitMs ?: 0
    }

    /** Ends the measurement. */
    fun stop() {
        silentFromMs = null
    }

    /**
     * Whether the limit has been exceeded at [nowMs].
     *
     * @param isPrefilling returns whether the upstream is expected to be prefilling at [nowMs]; called only after half of the
     *   limit, because most silences are short and the answer is expensive.
     */
    fun isExceeded(nowMs: Long, isPrefilling: () -> Boolean): Boolean {
        val fromMs = silentFromMs ?: return false
        if (nowMs - fromMs < limitMs / 2) return false
        if (isPrefilling()) unexplainedFromMs = nowMs
        return nowMs - unexplainedFromMs >= limitMs
    }
}
