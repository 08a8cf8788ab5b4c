package org.godwitwick.core.orders

import org.godwitwick.core.model.InstanceId

/**
 * The orders in force, folded from the stream `orders`. Of several records that follow the same order, the first in the log wins on
 * every reader. Not thread safe.
 */
class OrderFold {
    private val standing = HashMap<OrderSlot, StandingOrder>()
    private val winnersById = HashMap<String, Long>()

    /** Offset of the next record to apply. */
    var nextOffset = 0L
        private set

    /** Applies the record at [offset], null for one that isn't understood. Records before [nextOffset] are known already. */
    fun apply(offset: Long, record: OrderRecord?) {
        if (offset < nextOffset) return
        nextOffset = offset + 1
        if (record == null || record.id in winnersById) return
        if (standing[record.slot]?.fencingNumber != record.replaces) return
        standing[record.slot] = StandingOrder(offset, record)
        winnersById[record.id] = offset
    }

    /** Continues at [offset] when the log no longer retains the records before it. */
    fun skipTo(offset: Long) {
        nextOffset = maxOf(nextOffset, offset)
    }

    /** The order in force in [slot], or null. */
    fun standing(slot: OrderSlot): StandingOrder? = standing[slot]

    /** The orders in force at [engine], oldest first. */
    fun standingAt(engine: InstanceId): List<StandingOrder> =
        standing.values.filter { it.record.slot.engine == engine }.sortedBy { it.fencingNumber }
}
