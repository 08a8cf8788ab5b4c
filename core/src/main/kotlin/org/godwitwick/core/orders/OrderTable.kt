package org.godwitwick.core.orders

import org.godwitwick.core.model.InstanceId

/**
 * The orders in force, computed from the log stream `orders`. Of several records that replace the same order, the first in the
 * log wins, so all readers agree. Not thread safe.
 */
class OrderTable {
    private val activeBySlot = HashMap<OrderSlot, ActiveOrder>()
    private val winnersById = HashMap<String, Long>()

    /** Offset of the next record to apply. */
    var nextOffset = 0L
        private set

    /**
     * Applies the [record] at [offset], or skips the offset if the record is null because it could not be parsed. Offsets before
     * [nextOffset] have been applied and are ignored.
     */
    fun apply(offset: Long, record: OrderRecord?) {
        if (offset < nextOffset) return
        nextOffset = offset + 1
        if (record == null || record.id in winnersById) return
        if (activeBySlot[record.slot]?.fencingNumber != record.replaces) return
        activeBySlot[record.slot] = ActiveOrder(offset, record)
        winnersById[record.id] = offset
    }

    /** Skips to [offset] if the log no longer retains the records before it. */
    fun skipTo(offset: Long) {
        nextOffset = maxOf(nextOffset, offset)
    }

    /** Returns the order in force in [slot], or null if there is none. */
    fun activeOrder(slot: OrderSlot): ActiveOrder? = activeBySlot[slot]

    /** Returns the orders in force on [engine], oldest first. */
    fun activeOrdersOn(engine: InstanceId): List<ActiveOrder> =
        activeBySlot.values.filter { it.record.slot.engine == engine }.sortedBy { it.fencingNumber }
}
