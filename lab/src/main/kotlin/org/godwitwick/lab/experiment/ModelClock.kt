package org.godwitwick.lab.experiment

import java.util.PriorityQueue

/** Model time and the events still to come; events of the same time run in the order in which they were set. */
class ModelClock {
    private class Event(val atMs: Double, val order: Long, val action: () -> Unit)

    private val events = PriorityQueue(compareBy<Event> { it.atMs }.thenBy { it.order })
    private var order = 0L

    /** Present model time. */
    var nowMs = 0.0
        private set

    /** Runs [action] at [atMs]. */
    fun at(atMs: Double, action: () -> Unit) {
        events.add(Event(maxOf(atMs, nowMs), order++, action))
    }

    /** Runs [action] after [delayMs]. */
    fun after(delayMs: Double, action: () -> Unit) = at(nowMs + delayMs, action)

    /** Runs [action] every [periodMs], first after [firstMs]. */
    fun every(periodMs: Double, firstMs: Double, action: () -> Unit) {
        after(firstMs) {
            action()
            every(periodMs, periodMs, action)
        }
    }

    /** Runs all events up to [endMs]. */
    fun runUntil(endMs: Double) {
        while (true) {
            val next = events.peek() ?: return
            if (next.atMs > endMs) return
            events.poll()
            nowMs = next.atMs
            next.action()
        }
    }
}
