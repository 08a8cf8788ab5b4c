package org.godwitwick.core.admission

import org.godwitwick.core.model.OrganisationId
import kotlin.math.ceil

/** A waiting item and the work that its organisation is charged when it is taken. */
class Waiting<T>(val organisation: OrganisationId, val workTokens: Long, val enteredAtMs: Long, val item: T)

/**
 * Deficit round robin over organisations: each turn grants an organisation [quantumTokens] x weight, and its first item is taken once
 * the sum of grants covers its work.
 */
class FairQueue<T>(private val quantumTokens: Long, private val weightOf: (OrganisationId) -> Double) {
    private class Lane<T>(var deficit: Double = 0.0, val items: ArrayDeque<Waiting<T>> = ArrayDeque(), var workTokens: Long = 0)

    // Organisations with waiting items, the one whose turn it is first.
    private val lanes = LinkedHashMap<OrganisationId, Lane<T>>()

    /** Number of waiting items. */
    var size = 0
        private set

    /** Work of all waiting items. */
    var workTokens = 0L
        private set

    /** Entry time of the item that has waited longest, or null. */
    val oldestAtMs: Long? get() = lanes.values.minOfOrNull { it.items.first().enteredAtMs }

    /** Puts [waiting] behind the items of its organisation. */
    fun add(waiting: Waiting<T>) {
        val lane = lanes.getOrPut(waiting.organisation) { Lane() }
        lane.items.addLast(waiting)
        count(lane, waiting, 1)
    }

    /** The item that [take] would return, or null. */
    fun peek(): Waiting<T>? {
        advance()
        return lanes.values.firstOrNull()?.items?.first()
    }

    /** Takes the next item in fair order, or null. */
    fun take(): Waiting<T>? {
        advance()
        val (organisation, lane) = lanes.entries.firstOrNull() ?: return null
        val waiting = lane.items.removeFirst()
        lane.deficit -= waiting.workTokens
        count(lane, waiting, -1)
        if (lane.items.isEmpty()) {
            lanes.remove(organisation)
        } else if (missing(lane) > 0.0) {
            // Its turn is over. Without this the same organisation would be granted turn after turn.
            lanes.remove(organisation)
            lanes[organisation] = lane
        }
        return waiting
    }

    /** Work ahead of a new item of [organisation] of [ownTokens]: what fair order serves before it. */
    fun workAhead(organisation: OrganisationId, ownTokens: Long): Long {
        val own = (lanes[organisation]?.workTokens ?: 0) + ownTokens
        val weight = weightOf(organisation)
        return lanes.entries.sumOf { (other, lane) ->
            if (other == organisation) lane.workTokens else minOf(lane.workTokens, (own * weightOf(other) / weight).toLong())
        }
    }

    /** Removes and returns the items for which [isDoomed] holds. */
    fun removeIf(isDoomed: (Waiting<T>) -> Boolean): List<Waiting<T>> {
        val removed = ArrayList<Waiting<T>>()
        val iterator = lanes.values.iterator()
        while (iterator.hasNext()) {
            val lane = iterator.next()
            lane.items.removeAll { waiting ->
                isDoomed(waiting).also {
                    if (it) {
                        count(lane, waiting, -1)
                        removed += waiting
                    }
                }
            }
            if (lane.items.isEmpty()) iterator.remove()
        }
        return removed
    }

    /** Removes the newest item of the organisation with the most waiting work for its weight, or null when there is none. */
    fun shedHeaviest(): Waiting<T>? {
        val (organisation, lane) = lanes.entries.maxByOrNull { (id, lane) -> lane.workTokens / weightOf(id) } ?: return null
        val waiting = lane.items.removeLast()
        count(lane, waiting, -1)
        if (lane.items.isEmpty()) lanes.remove(organisation)
        return waiting
    }

    // Brings the organisation to the front whose first item is covered. The turns in which none is covered are granted at once, so
    // that the cost doesn't grow with the length of the items.
    private fun advance() {
        if (lanes.isEmpty()) return
        val turns = lanes.entries.minOf { (id, lane) -> ceil(missing(lane) / grant(id)) }
        if (turns > 1) lanes.forEach { (id, lane) -> lane.deficit += (turns - 1) * grant(id) }
        while (true) {
            val (id, lane) = lanes.entries.first()
            if (missing(lane) <= 0.0) return
            lane.deficit += grant(id)
            if (missing(lane) <= 0.0) return
            lanes.remove(id)
            lanes[id] = lane
        }
    }

    private fun missing(lane: Lane<T>): Double = (lane.items.first().workTokens - lane.deficit).coerceAtLeast(0.0)

    private fun grant(id: OrganisationId): Double = quantumTokens * weightOf(id)

    private fun count(lane: Lane<T>, waiting: Waiting<T>, sign: Int) {
        size += sign
        workTokens += sign * waiting.workTokens
        lane.workTokens += sign * waiting.workTokens
    }
}
