package org.godwitwick.core.config

/** Whether an instance can rely on its configuration being the newest. */
sealed interface Freshness {
    /** Within [CONFIRMATION_MAX_AGE_MS], the applied offset was confirmed to be the end of the log. */
    data object Current : Freshness

    /** No instance can reach the log, so no change can be accepted and the applied configuration remains in force. */
    data object LogDown : Freshness

    /** The instance cannot tell whether its configuration is the newest. It refuses new work once the grace period has passed. */
    data class CutOff(val refusesWork: Boolean) : Freshness
}

/**
 * Counts of the status reports that an instance has from the listed entry instances of [region], none older than
 * [REPORT_MAX_AGE_MS].
 *
 * @property listed number of listed entry instances, including the counting instance.
 * @property heard number of those from which a report is available, including the counting instance.
 * @property confirmed number of those that reported their configuration as confirmed.
 */
data class RegionReports(val region: String, val listed: Int, val heard: Int, val confirmed: Int)

/** Maximum age of a confirmation that counts as current, in milliseconds. */
const val CONFIRMATION_MAX_AGE_MS = 3_000L

/** Maximum age of a report that counts in [RegionReports], in milliseconds since the reporting instance created it. */
const val REPORT_MAX_AGE_MS = 4_000L

/**
 * Time for which a positive result of [isLogDown] remains valid, in milliseconds. At the end of an outage, it allows an instance
 * to receive a confirmation before it would refuse work.
 */
const val LOG_DOWN_VALID_MS = 1_000L

/** Whether, in every region, more than half of the listed instances reported and none of them is confirmed. */
fun isLogDown(regions: List<RegionReports>): Boolean =
    regions.isNotEmpty() && regions.all { it.heard * 2 > it.listed && it.confirmed == 0 }

/**
 * Whether a change may be appended, which requires that more than half of the listed instances of some region are confirmed.
 * [isLogDown] requires reports from more than half of the same region. The two majorities overlap, so no instance can find the
 * log down, and continue with an older configuration, without seeing one of the confirmations.
 */
fun mayAppendChange(regions: List<RegionReports>): Boolean = regions.any { it.confirmed * 2 > it.listed }

/**
 * Returns the freshness of the configuration at [nowMs].
 *
 * @param confirmedAtMs when the applied offset was last confirmed to be the end of the log, or null if it never was.
 * @param logDownAtMs when [isLogDown] was last true, or null if it never was. It confirms the configuration only as of
 * [REPORT_MAX_AGE_MS] earlier, because a change may have been accepted since the oldest counted report was created.
 * @param graceMs time since the last confirmation, in milliseconds, after which new work is refused.
 */
fun freshnessAt(nowMs: Long, confirmedAtMs: Long?, logDownAtMs: Long?, graceMs: Long): Freshness {
    if (confirmedAtMs != null && nowMs - confirmedAtMs <= CONFIRMATION_MAX_AGE_MS) return Freshness.Current
    if (logDownAtMs != null && nowMs - logDownAtMs <= LOG_DOWN_VALID_MS) return Freshness.LogDown
    val lastMs = listOfNotNull(confirmedAtMs, logDownAtMs?.minus(REPORT_MAX_AGE_MS)).maxOrNull()
    return Freshness.CutOff(refusesWork = lastMs == null || nowMs - lastMs > graceMs)
}
