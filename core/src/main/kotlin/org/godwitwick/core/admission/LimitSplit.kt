package org.godwitwick.core.admission

/**
 * Input for computing an instance's share of a limit.
 *
 * @property listedInstances number of entry instances that share the limit.
 * @property visibleInstances number of instances with a fresh demand row, including this one.
 * @property ownDemand demand last published by this instance.
 * @property visibleDemand total published demand of the visible instances, including this one.
 * @property isSettled whether the other instances count this one.
 */
data class LimitSplitInput(
    val listedInstances: Int,
    val visibleInstances: Int,
    val ownDemand: Double,
    val visibleDemand: Double,
    val isSettled: Boolean,
)

/** Splits a limit over instances: half of it evenly, which gives each its floor share, and half by demand. */
object LimitSplit {
    /**
     * Returns this instance's share of [limit].
     *
     * The half split by demand is scaled by the fraction of instances that this one sees. Two partitioned groups therefore use at
     * most the whole limit together, and an instance that sees no other gets only its floor share. An instance that the others do
     * not count yet gets nothing, because its floor share would be added to shares that already use up the limit.
     */
    fun shareOf(limit: Double, input: LimitSplitInput): Double {
        if (!input.isSettled) return 0.0
        val instances = maxOf(input.listedInstances, input.visibleInstances, 1)
        val floor = floorOf(limit, instances)
        if (instances == 1) return limit
        if (input.visibleInstances <= 1) return floor
        val demandPart = if (input.visibleDemand > 0.0) input.ownDemand / input.visibleDemand else 1.0 / input.visibleInstances
        return floor + limit * (1 - FLOOR_FRACTION) * input.visibleInstances / instances * demandPart.coerceIn(0.0, 1.0)
    }

    /** Returns the floor share: the part of [limit] that each of [instances] gets regardless of its demand. */
    fun floorOf(limit: Double, instances: Int): Double = limit * FLOOR_FRACTION / instances.coerceAtLeast(1)

    private const val FLOOR_FRACTION = 0.5
}
