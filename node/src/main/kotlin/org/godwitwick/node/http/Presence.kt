package org.godwitwick.node.http

import io.undertow.util.AttachmentKey

/**
 * One exchange in [inFlight]. It is in flight until it is complete and its handler has returned: a connection that breaks completes the
 * exchange while the handler still records how the request ended.
 */
internal class Presence(private val inFlight: InFlight) {
    private var isHandled = false
    private var isComplete = false

    init {
        inFlight.enter()
    }

    /** The handler has begun. */
    @Synchronized
    fun handlerBegan() {
        isHandled = true
    }

    /** The handler has returned. */
    @Synchronized
    fun handlerReturned() {
        isHandled = false
        if (isComplete) inFlight.leave()
    }

    /** The exchange is complete. */
    @Synchronized
    fun completed() {
        isComplete = true
        if (!isHandled) inFlight.leave()
    }

    companion object {
        /** Where an exchange keeps its presence. */
        val KEY: AttachmentKey<Presence> = AttachmentKey.create(Presence::class.java)
    }
}
