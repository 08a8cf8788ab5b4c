package org.godwitwick.node.peer

import org.godwitwick.core.membership.RowTopic
import org.godwitwick.core.membership.VersionedRow

/**
 * Versioned rows that instances spread among each other.
 *
 * Rows reach the data centre (or the fleet, by [RowTopic.reach]) within a few exchanges of 500 ms, or at once when urgent. A row may be
 * late or lost; its owner publishes it again before [RowTopic.maxAgeMs]. All functions are called on the control thread, and listeners
 * run on it.
 */
interface RowExchange {
    /** Publishes a new version of this instance's row [name] of [topic]. */
    fun publish(topic: RowTopic, name: String, body: ByteArray)

    /** Like [publish], and also sends the row to the live peers at once. */
    fun publishUrgent(topic: RowTopic, name: String, body: ByteArray)

    /** All rows of [topic] that are held, this instance's own included. */
    fun rows(topic: RowTopic): List<VersionedRow>

    /** Registers [listener] for rows of [topic] that arrive from other instances in a new version. */
    fun onRow(topic: RowTopic, listener: (VersionedRow) -> Unit)
}
