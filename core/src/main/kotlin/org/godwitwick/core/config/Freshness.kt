package org.godwitwick.core.config

/** How sure an instance is that its configuration is the newest. */
sealed interface Freshness {
    /** It was confirmed within [CONFIRMED_MS] that the applied offset reaches the end of the log. */
    data object Current : Freshness

    /** Nobody reaches the log, so no change can be accepted and the configuration is in effect. */
    data object LogDown : Freshness

    /** The instance can't know. It refuses new work when [refusesWork] is set, which is so once the grace time has passed. */
    data class CutOff(val refusesWork: Boolean) : Freshness
}

/**
 * What an instance heard of the listed entry instances of one region within [HEARING_MS].
 *
 * @property listed listed entry instances, this one included.
 * @property heard those whose statements were heard, this one included.
 * @property confirmed those that stated that their configuration is confirmed.
 */
data class RegionHearing(val region: String, val listed: Int, val heard: Int, val confirmed: Int)

/** Age up to which a confirmation counts as current. */
const val CONFIRMED_MS = 3_000L

/** Age, from the instance that made it, up to which a statement counts in [RegionHearing]. */
const val HEARING_MS = 4_000L

/** How long a finding of [isLogDown] stands. A confirmation that comes with the end of an outage then arrives before work is refused. */
const val LOG_DOWN_HOLD_MS = 1_000L

/** Whether more than half of the listed instances of every region are heard and none is confirmed. */
fun isLogDown(regions: List<RegionHearing>): Boolean =
    regions.isNotEmpty() && regions.all { it.heard * 2 > it.listed && it.confirmed == 0 }

/**
 * Whether a change may be appended: more than half of some region is confirmed. Any instance that finds [isLogDown] hears more than half of
 * that region too, so it hears of a confirmation and can't go on with an older configuration.
 */
fun mayAppendChange(regions: List<RegionHearing>): Boolean = regions.any { it.confirmed * 2 > it.listed }

/**
 * Decides at [nowMs].
 *
 * @param confirmedAtMs when the end of the log was last confirmed to be applied, or null for never.
 * @param logDownAtMs when [isLogDown] was last found true, or null for never. It confirms the configuration as of [HEARING_MS] earlier,
 * because a statement of that age may hide a change that was accepted since.
 * @param graceMs time after the last confirmation from which new work is refused.
 */
fun freshnessAt(nowMs: Long, confirmedAtMs: Long?, logDownAtMs: Long?, graceMs: Long): Freshness {
    if (confirmedAtMs != null && nowMs - confirmedAtMs <= CONFIRMED_MS) return Freshness.Current
    if (logDownAtMs != null && nowMs - logDownAtMs <= LOG_DOWN_HOLD_MS) return Freshness.LogDown
    val lastMs = listOfNotNull(confirmedAtMs, logDownAtMs?.minus(HEARING_MS)).maxOrNull()
    return Freshness.CutOff(refusesWork = lastMs == null || nowMs - lastMs > graceMs)
}
