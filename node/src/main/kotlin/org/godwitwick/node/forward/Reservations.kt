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
 * Reserves memory of engines for prompts that are larger than one engine's memory.
 *
 * A reservation is held for [holdMs] and extended while its request lives, so that an instance that dies leaves none behind for long.
 */
class Reservations(private val client: ForwardClient, private val dialect: ForwardDialect, private val holdMs: Long) :
    AutoCloseable {
    private val orders = Executors.newFixedThreadPool(ORDER_THREADS) { Thread(it, "reservations").apply { isDaemon = true } }
    private val timer = Executors.newSingleThreadScheduledExecutor { Thread(it, "reservation-timer").apply { isDaemon = true } }

    /** Reserves what [placement] asks for. The error names the engines that refused; nothing stays reserved then. */
    fun reserve(placement: Placement, requestId: String): Result<Held, List<UpstreamEntry>> {
        val wanted = placement.helpers.filter { it.reservedTokens > 0 }
        if (wanted.isEmpty()) return Ok(Held(placement.helpers.associateWith { null }))
        val names = wanted.associateWith { UUID.randomUUID().toString() }
        val replies = orders.invokeAll(
            names.map { (helper, name) ->
                Callable { helper to order(helper, name) }
            },
        ).map { it.get() }
        val held = Held(placement.helpers.associateWith { names[it] })
        val refusing = replies.filter { it.second != ReservationReply.HELD }.map { it.first.upstream }
        if (refusing.isEmpty()) return Ok(held.apply { extendRegularly() })
        log.info("reserve: {} was refused by {} of {} engines: {}", requestId, refusing.size, wanted.size, refusing.map { it.id })
        // An engine that did not answer may have reserved too.
        held.release()
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

    /** Reservations that are held until they are released; [names] is null for helpers that only read. */
    inner class Held(private val names: Map<Helper, String?>) {
        private var extension: ScheduledFuture<*>? = null

        /** The helpers with their reservations. */
        val helpers: List<HelperAddress> get() = names.map { (helper, name) -> HelperAddress(helper.upstream.address, name) }

        internal fun extendRegularly() {
            val periodMs = holdMs / EXTENSIONS_PER_HOLD
            extension = timer.scheduleAtFixedRate({ forEachReserved(::extend) }, periodMs, periodMs, TimeUnit.MILLISECONDS)
        }

        /** Ends all reservations without waiting. */
        fun release() {
            extension?.cancel(false)
            forEachReserved { helper, name ->
                val status = client.order(helper.upstream.address, dialect.release(helper.upstream, name), ORDER_TIMEOUT_MS)
                if (status ==
                    null
                ) {
                    log.warn("reserve: {} did not answer the release of {}; it ends by itself", helper.upstream.id, name)
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

        /** An order is a small message within a region. */
        const val ORDER_TIMEOUT_MS = 400L
        val log = LoggerFactory.getLogger(Reservations::class.java)
    }
}
