package org.godwitwick.core.admission

/**
 * What an instance knows of the others when it computes its part of a fleet-wide limit.
 *
 * @property listedInstances entry instances that share the limit.
 * @property seenInstances instances with a fresh demand row, this one included.
 * @property ownDemand demand that this instance last published.
 * @property seenDemand sum of the published demand of the seen instances.
 * @property isSettled whether the others have had time to count this instance in.
 */
data class LimitKnowledge(
    val listedInstances: Int,
    val seenInstances: Int,
    val ownDemand: Double,
    val seenDemand: Double,
    val isSettled: Boolean,
)

/** Splits a fleet-wide limit over instances: half evenly, half by demand. */
object LimitSplit {
    /**
     * This instance's part of [limit].
     *
     * The demand half is scaled by the part of the instances that this one sees. So two groups that can't see each other hand out
     * at most the whole limit together, and an instance that sees nobody has its floor only. An instance that the others don't
     * count yet gets nothing, because its floor would come on top of theirs.
     */
    fun shareOf(limit: Double, known: LimitKnowledge): Double {
        if (!known.isSettled) return 0.0
        val instances = maxOf(known.listedInstances, known.seenInstances, 1)
        val floor = floorOf(limit, instances)
        if (instances == 1) return limit
        if (known.seenInstances <= 1) return floor
        val demandPart = if (known.seenDemand > 0.0) known.ownDemand / known.seenDemand else 1.0 / known.seenInstances
        return floor + limit * (1 - FLOOR_FRACTION) * known.seenInstances / instances * demandPart.coerceIn(0.0, 1.0)
    }

    /** The part of [limit] that each of [instances] has whatever its demand. */
    fun floorOf(limit: Double, instances: Int): Double = limit * FLOOR_FRACTION / instances.coerceAtLeast(1)

    private const val FLOOR_FRACTION = 0.5
}
