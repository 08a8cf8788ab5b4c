package org.godwitwick.lab.experiment

import java.util.PriorityQueue

/** Model time with a queue of scheduled events. Events of the same time run in the order in which they were scheduled. */
class ModelClock {
    private class Event(val atMs: Double, val order: Long, val action: () -> Unit)

    private val events = PriorityQueue(compareBy<Event> { it.atMs }.thenBy { it.order })
    private var order = 0L

    /** Current model time. */
    var nowMs = 0.0
        private set

    /** Schedules [action] at [atMs], or now if that has passed. */
    fun at(atMs: Double, action: () -> Unit) {
        events.add(Event(maxOf(atMs, nowMs), order++, action))
    }

    /** Schedules [action] after [delayMs]. */
    fun after(delayMs: Double, action: () -> Unit) = at(nowMs + delayMs, action)

    /** Schedules [action] after [firstMs] and then every [periodMs]. */
    fun every(periodMs: Double, firstMs: Double, action: () -> Unit) {
        after(firstMs) {
            action()
            every(periodMs, periodMs, action)
        }
    }

    /** Runs all events up to and including [endMs]. */
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
