package org.godwitwick.standins.engine

/** An order that an engine has executed. */
data class ExecutedOrder(val slot: String, val target: String, val fencingNumber: Long)

/**
 * The orders that one engine has executed, by slot.
 *
 * @property checksFencing whether an order is refused if its fencing number is lower than that of the slot's last order.
 */
class EngineOrders(private val checksFencing: Boolean) {
    private val current = HashMap<String, ExecutedOrder>()
    private val history = ArrayList<ExecutedOrder>()

    /** Orders that changed the target of their slot, in order of execution. */
    val executed: List<ExecutedOrder> @Synchronized get() = history.toList()

    /** The last order executed for [slot], or null if there was none. */
    @Synchronized
    fun current(slot: String): ExecutedOrder? = current[slot]

    /**
     * Executes [order] and returns true, or returns false if its fencing number is too low. An order for the slot's current
     * target is not added to [executed].
     */
    @Synchronized
    fun execute(order: ExecutedOrder): Boolean {
        val previous = current[order.slot]
        if (checksFencing && previous != null && order.fencingNumber < previous.fencingNumber) return false
        current[order.slot] = order
        if (previous?.target != order.target) history += order
        return true
    }
}
