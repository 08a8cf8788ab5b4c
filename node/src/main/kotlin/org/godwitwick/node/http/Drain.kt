package org.godwitwick.node.http

import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.slf4j.LoggerFactory
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Graceful shutdown of an instance.
 *
 * Readiness fails immediately. New requests are still served for [noticeMs], so that the load balancer has time to notice, and
 * are refused after that. Requests in flight run to their end or deadline.
 *
 * @param limitMs longest wait after the notice period, for platforms that kill the process after a fixed time.
 */
class Drain(
    private val gate: ReadinessGate,
    private val inFlight: InFlightExchanges,
    private val noticeMs: Long,
    private val nowMs: () -> Long,
    private val sleep: (Long) -> Unit = Thread::sleep,
    private val limitMs: Long = Long.MAX_VALUE,
) {
    private val hasBegun = AtomicBoolean()

    @Volatile
    private var isRefusing = false

    /** Whether the shutdown has begun. */
    val isDraining: Boolean get() = hasBegun.get()

    /** Returns the failure with which new requests are refused, or null while they are still served. */
    fun refusal(): Failure? = if (isRefusing) Failure(ErrorKind.DRAINING, "this instance is shutting down") else null

    /** Begins the shutdown by failing readiness. Calls after the first have no effect. */
    fun begin() {
        if (!hasBegun.compareAndSet(false, true)) return
        gate.block(REASON_CODE, "the instance is shutting down")
        log.info("drain: began with {} exchanges in flight; new requests are served for {} ms", inFlight.count, noticeMs)
    }

    /**
     * Begins the shutdown, serves during the notice period, then refuses new requests and waits until no exchange is in flight.
     * The wait ends shortly after the latest deadline, or [limitMs] after the notice period. Returns the number of exchanges
     * still in flight.
     */
    fun await(): Int {
        begin()
        sleep(noticeMs)
        isRefusing = true
        log.info("drain: new requests are now refused; {} exchanges in flight", inFlight.count)
        val remaining = inFlight.awaitNone(nowMs, DEADLINE_GRACE_MS, limitMs)
        log.info("drain: ended with {} exchanges in flight", remaining)
        return remaining
    }

    private companion object {
        const val REASON_CODE = "draining"

        // Gives a request that ends at its deadline the time to write its last event.
        const val DEADLINE_GRACE_MS = 2_000L
        val log = LoggerFactory.getLogger(Drain::class.java)
    }
}
