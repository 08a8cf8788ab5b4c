package org.godwitwick.core.admission

import org.godwitwick.core.model.OrganisationId
import kotlin.math.ceil

/** An item in a [FairQueue]. Its organisation is charged [workTokens] when it is taken. */
class QueuedItem<T>(val organisation: OrganisationId, val workTokens: Long, val enteredAtMs: Long, val item: T)

/**
 * Queue with deficit round robin over organisations: each turn grants an organisation [quantumTokens] x weight, and its first
 * item is taken once the accumulated grants cover the item's work. Not thread safe.
 */
class FairQueue<T>(private val quantumTokens: Long, private val weightOf: (OrganisationId) -> Double) {
    private class OrganisationQueue<T>(
        var deficit: Double = 0.0,
        val items: ArrayDeque<QueuedItem<T>> = ArrayDeque(),
        var workTokens: Long = 0,
    )

    // Only organisations with queued items, in order of their turns.
    private val queues = LinkedHashMap<OrganisationId, OrganisationQueue<T>>()

    /** Number of queued items. */
    var size = 0
        private set

    /** Total work of the queued items. */
    var workTokens = 0L
        private set

    /** Entry time of the oldest item, or null if the queue is empty. */
    val oldestAtMs: Long? get() = queues.values.minOfOrNull { it.items.first().enteredAtMs }

    /** Adds [queued] behind the other items of its organisation. */
    fun add(queued: QueuedItem<T>) {
        val queue = queues.getOrPut(queued.organisation) { OrganisationQueue() }
        queue.items.addLast(queued)
        updateTotals(queue, queued, 1)
    }

    /** Returns the item that [take] would return, or null if the queue is empty. */
    fun peek(): QueuedItem<T>? {
        advance()
        return queues.values.firstOrNull()?.items?.first()
    }

    /** Removes and returns the next item in fair order, or null if the queue is empty. */
    fun take(): QueuedItem<T>? {
        advance()
        val (organisation, queue) = queues.entries.firstOrNull() ?: return null
        val queued = queue.items.removeFirst()
        queue.deficit -= queued.workTokens
        updateTotals(queue, queued, -1)
        if (queue.items.isEmpty()) {
            queues.remove(organisation)
        } else if (shortfall(queue) > 0.0) {
            // Ends the turn of the organisation; otherwise the next grant would go to the same organisation again.
            queues.remove(organisation)
            queues[organisation] = queue
        }
        return queued
    }

    /** Returns the queued work in tokens that fair order serves before a new item of [organisation] with [ownTokens] of work. */
    fun workAhead(organisation: OrganisationId, ownTokens: Long): Long {
        val own = (queues[organisation]?.workTokens ?: 0) + ownTokens
        val weight = weightOf(organisation)
        return queues.entries.sumOf { (other, queue) ->
            if (other == organisation) queue.workTokens else minOf(queue.workTokens, (own * weightOf(other) / weight).toLong())
        }
    }

    /** Removes and returns the items that match [shouldRemove]. */
    fun removeIf(shouldRemove: (QueuedItem<T>) -> Boolean): List<QueuedItem<T>> {
        val removed = ArrayList<QueuedItem<T>>()
        val iterator = queues.values.iterator()
        while (iterator.hasNext()) {
            val queue = iterator.next()
            queue.items.removeAll { queued ->
                shouldRemove(queued).also {
                    if (it) {
                        updateTotals(queue, queued, -1)
                        removed += queued
                    }
                }
            }
            if (queue.items.isEmpty()) iterator.remove()
        }
        return removed
    }

    /**
     * Removes and returns the newest item of the organisation with the most queued work relative to its weight, or null if empty.
     */
    fun shedHeaviest(): QueuedItem<T>? {
        val (organisation, queue) = queues.entries.maxByOrNull { (id, queue) -> queue.workTokens / weightOf(id) } ?: return null
        val queued = queue.items.removeLast()
        updateTotals(queue, queued, -1)
        if (queue.items.isEmpty()) queues.remove(organisation)
        return queued
    }

    // Moves the next organisation whose grants cover its first item to the front. Turns in which no item is covered are granted
    // in one step, so the cost does not grow with the work of the items.
    private fun advance() {
        if (queues.isEmpty()) return
        val turns = queues.entries.minOf { (id, queue) -> ceil(shortfall(queue) / grant(id)) }
        if (turns > 1) queues.forEach { (id, queue) -> queue.deficit += (turns - 1) * grant(id) }
        while (true) {
            val (id, queue) = queues.entries.first()
            if (shortfall(queue) <= 0.0) return
            queue.deficit += grant(id)
            if (shortfall(queue) <= 0.0) return
            queues.remove(id)
            queues[id] = queue
        }
    }

    private fun shortfall(queue: OrganisationQueue<T>): Double =
        (queue.items.first().workTokens - queue.deficit).coerceAtLeast(0.0)

    private fun grant(id: OrganisationId): Double = quantumTokens * weightOf(id)

    private fun updateTotals(queue: OrganisationQueue<T>, queued: QueuedItem<T>, sign: Int) {
        size += sign
        workTokens += sign * queued.workTokens
        queue.workTokens += sign * queued.workTokens
    }
}
