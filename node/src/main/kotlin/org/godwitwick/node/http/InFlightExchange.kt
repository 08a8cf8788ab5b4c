package org.godwitwick.node.http

import io.undertow.util.AttachmentKey

/**
 * One exchange that is counted in [inFlight] until it is complete and its handler has returned. Completion alone is not enough: a
 * broken connection completes the exchange while the handler is still recording how the request ended.
 */
internal class InFlightExchange(private val inFlight: InFlightExchanges) {
    private var isHandlerRunning = false
    private var isComplete = false

    init {
        inFlight.add()
    }

    /** Must be called when the handler starts. */
    @Synchronized
    fun onHandlerStarted() {
        isHandlerRunning = true
    }

    /** Must be called when the handler has returned. */
    @Synchronized
    fun onHandlerReturned() {
        isHandlerRunning = false
        if (isComplete) inFlight.remove()
    }

    /** Must be called when the exchange is complete. */
    @Synchronized
    fun onExchangeCompleted() {
        isComplete = true
        if (!isHandlerRunning) inFlight.remove()
    }

    companion object {
        /** Attachment key of an exchange's [InFlightExchange]. */
        val KEY: AttachmentKey<InFlightExchange> = AttachmentKey.create(InFlightExchange::class.java)
    }
}
