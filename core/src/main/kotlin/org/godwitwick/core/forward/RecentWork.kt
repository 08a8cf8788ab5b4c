package org.godwitwick.core.forward

import org.godwitwick.core.model.OrganisationId

/**
 * Recent prefill work by organisation, as sums that halve every [HALF_LIFE_MS]. Not thread safe.
 *
 * Designed for a few organisations that send most of the load: what they have used decides who waits while capacity is scarce, and is
 * forgotten soon afterwards. Organisations are identified by [keyOf].
 */
class RecentWork {
    private class Sum(val workMs: Double, val atMs: Long) {
        fun at(nowMs: Long): Double = workMs * Math.pow(0.5, (nowMs - atMs).coerceAtLeast(0) / HALF_LIFE_MS)
    }

    private val sums = HashMap<Int, Sum>()

    /** Adds [prefillMs] milliseconds of prefill, summed over the engines, for [organisation] at [nowMs]. */
    fun add(organisation: Int, prefillMs: Double, nowMs: Long) {
        sums[organisation] = Sum((sums[organisation]?.at(nowMs) ?: 0.0) + prefillMs, nowMs)
    }

    /** The recent work of each organisation at [nowMs], in milliseconds; those with less than [MIN_MS] are left out. */
    fun all(nowMs: Long): Map<Int, Double> {
        sums.values.removeAll { it.at(nowMs) < MIN_MS }
        return sums.mapValues { it.value.at(nowMs) }
    }

    companion object {
        /** Below the length of a burst of long prompts (9.5 s), so that one burst does not decide who waits in the next. */
        const val HALF_LIFE_MS = 5_000.0

        /** Less than the prefill of the shortest prompts; an organisation with less counts as one without recent work. */
        const val MIN_MS = 10.0

        /**
         * Bound of the organisations in a report. The others have used so little that counting them as unused favours them only
         * slightly.
         */
        const val MAX_REPORTED = 32

        /** Key of [organisation] in reports; callers without a key count as one organisation. */
        fun keyOf(organisation: OrganisationId?): Int = organisation?.value?.hashCode() ?: 0

        /** The [MAX_REPORTED] organisations with the most work in [work], without those that have less than [MIN_MS]. */
        fun largest(work: Map<Int, Double>): List<Map.Entry<Int, Double>> {
            val used = work.entries.filter { it.value >= MIN_MS }
            return if (used.size <= MAX_REPORTED) used else used.sortedByDescending { it.value }.take(MAX_REPORTED)
        }
    }
}
