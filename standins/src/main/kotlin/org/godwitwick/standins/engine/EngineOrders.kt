package org.godwitwick.standins.engine

/** An order that an engine has executed. */
data class ExecutedOrder(val slot: String, val target: String, val fencingNumber: Long)

/** The orders of one engine. With [checksFencing] an order with a lower number than the slot's highest is refused. */
class EngineOrders(private val checksFencing: Boolean) {
    private val current = HashMap<String, ExecutedOrder>()
    private val history = ArrayList<ExecutedOrder>()

    /** Orders that changed something, in order. */
    val executed: List<ExecutedOrder> @Synchronized get() = history.toList()

    /** What the engine runs in [slot]. */
    @Synchronized
    fun current(slot: String): ExecutedOrder? = current[slot]

    /** Executes [order]; false when its number is too old. An order for the slot's present target changes nothing. */
    @Synchronized
    fun execute(order: ExecutedOrder): Boolean {
        val present = current[order.slot]
        if (checksFencing && present != null && order.fencingNumber < present.fencingNumber) return false
        current[order.slot] = order
        if (present?.target != order.target) history += order
        return true
    }
}
