package org.godwitwick.node.forward

import java.util.concurrent.Semaphore

/** Limits the requests that wait for the engines at this instance to [capacity], so that they leave threads for other requests. */
class PrefillQueue(capacity: Int) {
    private val places = Semaphore(capacity)

    /** Takes a place; returns false if the queue is full. */
    fun tryEnter(): Boolean = places.tryAcquire()

    /** Returns a place that [tryEnter] has taken. */
    fun leave() = places.release()
}
