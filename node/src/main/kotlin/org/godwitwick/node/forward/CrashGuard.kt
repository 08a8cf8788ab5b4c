package org.godwitwick.node.forward

import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.health.RequestTrait
import org.godwitwick.core.health.TraitQuarantine
import org.godwitwick.core.health.TraitRow
import org.slf4j.LoggerFactory

/**
 * Observes which requests upstreams crash with, shares it with the other instances, and states which requests are quarantined.
 *
 * @param onOwnChange called when an observation of this instance has begun or ended a quarantine.
 * @param send sends rows to the other instances.
 */
class CrashGuard(
    private val nowMs: () -> Long,
    private val onOwnChange: () -> Unit,
    private val send: (List<TraitRow>) -> Unit,
) {
    private val quarantine = TraitQuarantine()

    @Volatile
    private var quarantined: Set<RequestTrait> = emptySet()

    @Volatile
    private var suspected: Set<RequestTrait> = emptySet()

    /** Number of quarantined traits. */
    val quarantinedCount: Int get() = quarantined.size

    /** The trait of [request] for which it is quarantined, or null if it may be sent. */
    fun quarantinedTraitOf(request: CallerRequest, body: ByteArray): RequestTrait? {
        val refused = quarantined
        return if (refused.isEmpty()) null else traitsOf(request, body).firstOrNull { it in refused }
    }

    /** Records that [upstream] was lost while it had [request] and had not answered it yet. */
    fun onLost(upstream: UpstreamEntry, request: CallerRequest, body: ByteArray) {
        val before = quarantined
        val rows = synchronized(quarantine) {
            quarantine.onCrash(upstream.processKey, traitsOf(request, body), nowMs()).also { publish("${upstream.id} was lost") }
        }
        send(rows)
        if (quarantined != before) onOwnChange()
    }

    /** Records that an upstream has begun to answer [request] and has survived it. */
    fun onSound(request: CallerRequest, body: ByteArray) {
        val suspects = suspected
        if (suspects.isEmpty()) return
        val traits = traitsOf(request, body).filter { it in suspects }
        if (traits.isEmpty()) return
        val before = quarantined
        val rows = synchronized(quarantine) {
            quarantine.onSound(traits, nowMs()).also { publish("request ${request.id} was answered") }
        }
        if (rows.isNotEmpty()) send(rows)
        if (quarantined != before) onOwnChange()
    }

    /** Adds [rows] of another instance. */
    fun onRows(from: String, rows: List<TraitRow>) = synchronized(quarantine) {
        quarantine.merge(rows, nowMs())
        publish("rows of $from")
    }

    /** Rows that an instance needs which may have missed earlier ones; empty if nothing was quarantined lately. */
    fun lastingRows(): List<TraitRow> = synchronized(quarantine) {
        quarantine.expire(nowMs())
        publish("time has passed")
        quarantine.lastingRows(nowMs())
    }

    private fun publish(cause: String) {
        val current = quarantine.quarantined
        (current - quarantined).forEach {
            log.warn(
                "quarantine: {} is refused, as {} upstreams crashed with it; last: {}",
                it.value,
                quarantine.crashesOf(it),
                cause,
            )
        }
        (quarantined - current).forEach { log.info("quarantine: {} is no longer refused; cause: {}", it.value, cause) }
        quarantined = current
        suspected = quarantine.suspected
    }

    private fun traitsOf(request: CallerRequest, body: ByteArray): List<RequestTrait> =
        request.sharedParts.map(RequestTrait::ofPart) +
            RequestTrait.ofRequest("${request.method} ${request.host}${request.target}", request.key.orEmpty(), body)

    private companion object {
        val log = LoggerFactory.getLogger(CrashGuard::class.java)
    }
}
