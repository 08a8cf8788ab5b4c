package org.godwitwick.node.forward

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.godwitwick.core.forward.Helper
import org.godwitwick.core.forward.Placement
import org.godwitwick.core.forward.UpstreamEntry
import org.slf4j.LoggerFactory
import java.util.UUID
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/**
 * Reserves KV cache of engines for prompts that exceed the KV cache of one engine.
 *
 * A reservation lasts [holdMs] and is extended while its request is in progress, so that those of a crashed instance expire soon.
 *
 * @param isUsable whether an upstream may get new work; asked when an order is sent, as orders wait for a thread.
 */
class Reservations(
    private val client: ForwardClient,
    private val dialect: ForwardDialect,
    private val holdMs: Long,
    private val isUsable: (UpstreamEntry) -> Boolean = { true },
) : AutoCloseable {
    private val orders = Executors.newFixedThreadPool(ORDER_THREADS) { Thread(it, "reservations").apply { isDaemon = true } }
    private val timer = Executors.newSingleThreadScheduledExecutor { Thread(it, "reservation-timer").apply { isDaemon = true } }

    /**
     * Reserves the tokens that [placement] needs at its helpers. On an error, which lists the engines that refused, nothing stays
     * reserved.
     */
    fun reserve(placement: Placement, requestId: String): Result<ReservedHelpers, List<UpstreamEntry>> {
        val wanted = placement.helpers.filter { it.reservedTokens > 0 }
        if (wanted.isEmpty()) return Ok(ReservedHelpers(placement.helpers.associateWith { null }))
        val names = wanted.associateWith { UUID.randomUUID().toString() }
        val replies = orders.invokeAll(
            names.map { (helper, name) ->
                Callable { helper to if (isUsable(helper.upstream)) order(helper, name) else ReservationReply.REFUSED }
            },
        ).map { it.get() }
        val reserved = ReservedHelpers(placement.helpers.associateWith { names[it] })
        val refusing = replies.filter { it.second != ReservationReply.HELD }.map { it.first.upstream }
        if (refusing.isEmpty()) return Ok(reserved.apply { extendRegularly() })
        log.info(
            "reserve: reservations for request {} were refused by {} of {} engines: {}",
            requestId,
            refusing.size,
            wanted.size,
            refusing.map { it.id },
        )
        // An engine that did not answer may have made its reservation.
        reserved.release()
        return Err(refusing)
    }

    private fun order(helper: Helper, name: String): ReservationReply {
        val order = dialect.reserve(helper.upstream, name, helper.reservedTokens, holdMs)
        return client.order(helper.upstream.address, order, ORDER_TIMEOUT_MS)?.let(dialect::reservationReply)
            ?: ReservationReply.REFUSED
    }

    override fun close() {
        timer.shutdownNow()
        orders.shutdownNow()
    }

    /**
     * The helpers of a placement with their reservations, which last until [release]; the name is null for helpers that only
     * share the prefill.
     */
    inner class ReservedHelpers(private val names: Map<Helper, String?>) {
        private var extension: ScheduledFuture<*>? = null

        /** The helpers with their reservations. */
        val helpers: List<HelperAddress> get() = names.map { (helper, name) -> HelperAddress(helper.upstream.address, name) }

        internal fun extendRegularly() {
            val periodMs = holdMs / EXTENSIONS_PER_HOLD
            extension = timer.scheduleAtFixedRate({ forEachReserved(::extend) }, periodMs, periodMs, TimeUnit.MILLISECONDS)
        }

        /** Releases all reservations; does not wait for the replies of the engines. */
        fun release() {
            extension?.cancel(false)
            forEachReserved { helper, name ->
                val status = client.order(helper.upstream.address, dialect.release(helper.upstream, name), ORDER_TIMEOUT_MS)
                if (status == null) {
                    log.warn(
                        "reserve: {} did not answer the release of {}; the reservation will expire",
                        helper.upstream.id,
                        name,
                    )
                }
            }
        }

        private fun extend(helper: Helper, name: String) {
            if (extension?.isCancelled == true) return
            val reply = order(helper, name)
            if (reply != ReservationReply.HELD) log.warn("reserve: {} did not extend {}: {}", helper.upstream.id, name, reply)
        }

        private fun forEachReserved(action: (Helper, String) -> Unit) = names.forEach { (helper, name) ->
            if (name != null) orders.execute { action(helper, name) }
        }
    }

    private companion object {
        const val ORDER_THREADS = 8
        const val EXTENSIONS_PER_HOLD = 2

        /** Orders are small messages within a region. */
        const val ORDER_TIMEOUT_MS = 400L
        val log = LoggerFactory.getLogger(Reservations::class.java)
    }
}
