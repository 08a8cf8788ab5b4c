package org.godwitwick.node.peer

import org.godwitwick.core.membership.RowTopic
import org.godwitwick.core.membership.VersionedRow

/**
 * Versioned rows that instances distribute among each other.
 *
 * A row reaches all instances of the data centre, or of the fleet, as [RowTopic.reach] says, within a few exchange rounds of 500
 * ms. An urgent row is also sent immediately. Rows may be delayed or lost, so the owner republishes a row before it reaches
 * [RowTopic.maxAgeMs]. All functions must be called on the control thread, and listeners run on it.
 */
interface RowExchange {
    /** Publishes a new version of this instance's row [name] of [topic]. */
    fun publish(topic: RowTopic, name: String, body: ByteArray)

    /** Like [publish], but also sends the row to the live peers immediately. */
    fun publishUrgent(topic: RowTopic, name: String, body: ByteArray)

    /** All stored rows of [topic], including those of this instance. */
    fun rows(topic: RowTopic): List<VersionedRow>

    /** Registers [listener] for new versions of rows of [topic] received from other instances. */
    fun onRow(topic: RowTopic, listener: (VersionedRow) -> Unit)
}
