package org.godwitwick.node.forward

import org.godwitwick.core.forward.AttemptEnd
import org.godwitwick.core.forward.UpstreamEntry

/** Observes the attempts of one request for [guard]: whether upstreams are lost with it, or survive it. Used by one thread. */
class CrashObserver(private val guard: CrashGuard, private val request: CallerRequest, private val body: ByteArray) {
    /** Number of events that the current attempt has delivered. */
    var events = 0
        private set

    /** The next attempt begins. */
    fun onAttempt() {
        events = 0
    }

    /** The current attempt has delivered an event. */
    fun onEvent() {
        if (++events == SOUND_EVENTS) guard.onSound(request, body)
    }

    /** The stream of the current attempt has reached its end. */
    fun onStreamComplete() = guard.onSound(request, body)

    /** The current attempt, at [upstream], has ended with [end]. */
    fun onEnd(upstream: UpstreamEntry, end: AttemptEnd) {
        when (end) {
            // A stream that has gone on for several events was not what crashed its engine.
            is AttemptEnd.Broken -> if (end.isConnectionLost && events < SOUND_EVENTS) guard.onLost(upstream, request, body)

            // An upstream may answer with an error without having begun to run the request.
            is AttemptEnd.Answered -> if (end.status in SUCCESS) guard.onSound(request, body)

            is AttemptEnd.Refused, is AttemptEnd.NotSent -> Unit
        }
    }

    private companion object {
        /** Events after which an engine has survived the beginning of an answer. */
        const val SOUND_EVENTS = 2
        val SUCCESS = 200..299
    }
}
