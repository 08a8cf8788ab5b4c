package org.godwitwick.core.orders

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.godwitwick.core.model.InstanceId

/** Kinds of engine orders. */
@Serializable
enum class OrderKind {
    @SerialName("load_model")
    LOAD_MODEL,

    @SerialName("load_adapter")
    LOAD_ADAPTER,

    @SerialName("set_version")
    SET_VERSION,

    @SerialName("set_role")
    SET_ROLE,
}

/** Identifies what an order applies to: one kind of order for one model or adapter on one engine. */
@Serializable
data class OrderSlot(val engine: InstanceId, val kind: OrderKind, val subject: String) {
    /** Name of the slot in messages to the engine. */
    val name: String get() = "${kind.name.lowercase()}:$subject"
}

/**
 * Record of the log stream `orders`.
 *
 * @property id identifier of the order; a repeated append with the same id has no effect.
 * @property target desired value of the slot: a version, role or name.
 * @property replaces fencing number of the order that this one replaces, or null for the first order of the slot.
 */
@Serializable
data class OrderRecord(val id: String, val slot: OrderSlot, val target: String, val replaces: Long? = null)

/** The order in force in a slot. [fencingNumber] is the log offset of its record. */
data class ActiveOrder(val fencingNumber: Long, val record: OrderRecord)
