package org.godwitwick.core.memory

/** Decides which refusals are reported: the first one at once, later ones as a sum at most once in [periodMs]. Not thread-safe. */
class RefusalReport(private val periodMs: Long) {
    private var reportedMs: Long? = null
    private var unreported = 0

    /** Counts a refusal at [nowMs]. Returns the number of refusals to report now, or null if none is due. */
    fun onRefused(nowMs: Long): Int? {
        unreported++
        val lastMs = reportedMs
        if (lastMs != null && nowMs - lastMs < periodMs) return null
        reportedMs = nowMs
        return unreported.also { unreported = 0 }
    }
}
