package org.godwitwick.node.forward

import org.godwitwick.core.health.RequestTrait
import org.godwitwick.core.health.TraitRow
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.peer.QuarantineRows
import kotlin.random.Random

/**
 * Sends observations of crashes to the other instances: new ones to all, and lasting ones again every round, to instances that have
 * joined since and to a few others, which may have been unreachable. Used by one thread, except for [offer].
 */
class QuarantineExchange(
    private val lastingRows: () -> List<TraitRow>,
    private val random: Random,
    private val send: (to: InstanceId, message: QuarantineRows) -> Unit,
) {
    private var known: Set<InstanceId> = emptySet()
    private val pending = LinkedHashMap<RequestTrait, TraitRow>()

    /**
     * Adds [rows] to those that the next [flush] sends; returns whether one has to be scheduled. When many upstreams are lost at the
     * same moment, each request on them yields rows, which are sent together.
     */
    fun offer(rows: List<TraitRow>): Boolean = synchronized(pending) {
        val wasEmpty = pending.isEmpty()
        rows.forEach { pending[it.trait] = it }
        wasEmpty && pending.isNotEmpty()
    }

    /** Sends the offered rows to all of [others]. */
    fun flush(others: Collection<InstanceId>) {
        val rows = synchronized(pending) { pending.values.toList().also { pending.clear() } }
        if (rows.isNotEmpty()) others.forEach { send(it, QuarantineRows(rows)) }
    }

    /** Runs a round with the other instances, [others]. */
    fun round(others: Set<InstanceId>) {
        val rows = lastingRows()
        val joined = others - known
        known = others
        if (rows.isEmpty()) return
        (joined + others.shuffled(random).take(RECEIVERS)).forEach { send(it, QuarantineRows(rows)) }
    }

    private companion object {
        /** An instance that can be reached again then hears of a quarantine within about a second, in a fleet of any size. */
        const val RECEIVERS = 3
    }
}
