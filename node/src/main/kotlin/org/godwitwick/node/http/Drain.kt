package org.godwitwick.node.http

import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.slf4j.LoggerFactory
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Graceful shutdown: readiness fails at once, new requests are served for [noticeMs] more, so that the load balancer notices, and then
 * refused; those in flight run to their end or deadline.
 *
 * @param limitMs longest wait after the notice time, where the platform ends the process after a fixed time.
 */
class Drain(
    private val gate: ReadinessGate,
    private val inFlight: InFlight,
    private val noticeMs: Long,
    private val nowMs: () -> Long,
    private val sleep: (Long) -> Unit = Thread::sleep,
    private val limitMs: Long = Long.MAX_VALUE,
) {
    private val begun = AtomicBoolean()

    @Volatile
    private var isRefusing = false

    /** Whether the shutdown has begun. */
    val isDraining: Boolean get() = begun.get()

    /** The failure that a new request gets now, or null while requests are served. */
    fun refusal(): Failure? = if (isRefusing) Failure(ErrorKind.DRAINING, "this instance is shutting down") else null

    /** Begins the shutdown: fails readiness. Later calls change nothing. */
    fun begin() {
        if (!begun.compareAndSet(false, true)) return
        gate.block(REASON_CODE, "the instance is shutting down")
        log.info("drain: begun with {} exchanges in flight; new requests are served for {} ms", inFlight.count, noticeMs)
    }

    /** Waits until the notice time has passed and nothing is in flight. Returns the number of exchanges that outlasted their deadline. */
    fun await(): Int {
        begin()
        sleep(noticeMs)
        isRefusing = true
        log.info("drain: new requests are refused; {} exchanges in flight", inFlight.count)
        val left = inFlight.awaitNone(nowMs, DEADLINE_GRACE_MS, limitMs)
        log.info("drain: ended with {} exchanges in flight", left)
        return left
    }

    private companion object {
        const val REASON_CODE = "draining"

        // A request that ends at its deadline still has to write its last event.
        const val DEADLINE_GRACE_MS = 2_000L
        val log = LoggerFactory.getLogger(Drain::class.java)
    }
}
