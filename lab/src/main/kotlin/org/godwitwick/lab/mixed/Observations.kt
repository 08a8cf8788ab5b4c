package org.godwitwick.lab.mixed

import org.godwitwick.standins.platform.CallerAnswer
import java.util.concurrent.ConcurrentLinkedQueue

/**
 * Kind of a request.
 *
 * @property path prefix of its path.
 * @property service the service whose upstreams serve it.
 * @property maxRuns number of times that one request may run.
 */
enum class RequestKind(val path: String, val service: String, val maxRuns: Int) {
    STATUS("/status/", "desk", 2),
    CHARGE("/charge/", "desk", 1),
    DRAFT("/draft/", "model", 2),
}

/** A request as its caller saw it. Times are milliseconds of one clock of the lab. */
data class CallerAttempt(
    val id: String,
    val kind: RequestKind,
    val key: String,
    val instance: String,
    val sentMs: Long,
    val endMs: Long,
    val answer: CallerAnswer,
)

/** What an upstream did with a request. */
enum class Handling {
    /** It ran and was answered with a success. */
    SERVED,

    /** It ran and was answered with a failure, or not at all. */
    FAILED,

    /** It ran and ended the upstream. */
    CRASHED,

    /** It did not run. */
    REFUSED,
}

/** A request as an upstream received it. */
data class Arrival(
    val id: String,
    val upstream: String,
    val atMs: Long,
    val handling: Handling,
    val organisation: String?,
    val hasKey: Boolean,
) {
    val hasRun: Boolean get() = handling != Handling.REFUSED
}

/** What happens to the fleet in a run. */
sealed class FleetEvent {
    abstract val atMs: Long

    /** The store has accepted a configuration without [key]. */
    data class KeyRevoked(override val atMs: Long, val key: String) : FleetEvent()

    /** The store has accepted that [upstream] leaves. */
    data class UpstreamLeaves(override val atMs: Long, val upstream: String) : FleetEvent()

    /** [upstream] has begun to state that it takes [perSecond] requests a second. */
    data class LimitStated(override val atMs: Long, val upstream: String, val perSecond: Double) : FleetEvent()

    /** [instance] has been asked to stop. */
    data class Stopping(override val atMs: Long, val instance: String) : FleetEvent()

    /** [instance] has ended; it had to be killed if [wasKilled]. */
    data class Stopped(override val atMs: Long, val instance: String, val wasKilled: Boolean) : FleetEvent()

    /** [instance] is ready with [build]. */
    data class Ready(override val atMs: Long, val instance: String, val build: String) : FleetEvent()
}

/** All that callers and upstreams have seen in one run. */
class Observations {
    val attempts = ConcurrentLinkedQueue<CallerAttempt>()
    val arrivals = ConcurrentLinkedQueue<Arrival>()
    val events = ConcurrentLinkedQueue<FleetEvent>()
}

/** Signature and body of the one answer of [upstream] to the request [id]. */
data class ExpectedAnswer(val signature: String, val body: String) {
    companion object {
        /** Number of events of a stream. */
        const val EVENTS = 4
        private const val MAX_REPEATS = 300

        /** Signature with which [upstream] answers the request [id]. */
        fun signatureOf(id: String, upstream: String) = "$id.$upstream"

        /** Event [number] of the stream that answers the request [id]. */
        fun eventOf(id: String, number: Int) = "id: $number\ndata: part $number of $id\n\n"

        /** The answer of [upstream] to a request of [kind]. */
        fun of(kind: RequestKind, id: String, upstream: String) = ExpectedAnswer(
            signatureOf(id, upstream),
            when (kind) {
                RequestKind.STATUS, RequestKind.CHARGE -> "$id by $upstream\n".repeat(1 + id.hashCode().mod(MAX_REPEATS))
                RequestKind.DRAFT -> (0 until EVENTS).joinToString("") { eventOf(id, it) }
            },
        )
    }
}
