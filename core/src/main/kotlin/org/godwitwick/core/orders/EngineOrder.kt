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

/** What an order is about: one kind of order for one model or adapter on one engine. */
@Serializable
data class OrderSlot(val engine: InstanceId, val kind: OrderKind, val subject: String) {
    /** Name of the slot in engine messages. */
    val name: String get() = "${kind.name.lowercase()}:$subject"
}

/**
 * A record of the log stream `orders`.
 *
 * @property id makes a repeated append of the same order harmless.
 * @property target what the slot shall hold: a version, role or name.
 * @property replaces fencing number of the order that this one follows, or null for the slot's first.
 */
@Serializable
data class OrderRecord(val id: String, val slot: OrderSlot, val target: String, val replaces: Long? = null)

/** An order in force. [fencingNumber] is the offset of its record. */
data class StandingOrder(val fencingNumber: Long, val record: OrderRecord)
