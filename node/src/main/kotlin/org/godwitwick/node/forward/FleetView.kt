package org.godwitwick.node.forward

import org.godwitwick.core.forward.ClockReading
import org.godwitwick.core.forward.ConfigGate
import org.godwitwick.core.forward.RoutingConfig
import org.godwitwick.core.forward.RoutingState
import org.godwitwick.core.forward.UpstreamDirectory
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.UpstreamList
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.control.ControlThread
import org.slf4j.LoggerFactory

/**
 * Routing configuration and upstreams as last read from the store. Written by the control thread; other threads read the
 * published snapshots.
 */
class FleetView(
    private val control: ControlThread,
    private val loads: UpstreamLoads,
    private val statements: UpstreamStatements,
    private val nowMs: () -> Long,
) {
    private val gate = ConfigGate()
    private val directory = UpstreamDirectory()

    /** The routing table in force and when it was last proven to be current. */
    @Volatile
    var routing = RoutingState(null, null)
        private set

    /** Upstreams that may get new work, by service; ordered once for all requests. */
    @Volatile
    var upstreams: Map<String, UpstreamList> = emptyMap()
        private set

    init {
        control.every(EXPIRY_PERIOD_MS) { publish() }
    }

    /** Listener of the configuration feed. */
    val configListener = object : FeedListener<RoutingConfig> {
        override fun onSnapshot(items: Map<String, RoutingConfig?>, provenAt: ClockReading) = onChanges(items.toList(), provenAt)

        override fun onChanges(items: List<Pair<String, RoutingConfig?>>, provenAt: ClockReading) = control.post {
            items.forEach { (key, config) -> if (config == null) warnMalformed(key) else accept(config) }
            this@FleetView.routing = RoutingState(gate.table, later(routing.provenAt, provenAt))
        }

        override fun onStoreRecovered(atMs: Long) = Unit
    }

    /** Listener of the feed of upstream registrations. */
    val upstreamListener = object : FeedListener<UpstreamEntry> {
        override fun onSnapshot(items: Map<String, UpstreamEntry?>, provenAt: ClockReading) = control.post {
            directory.onSnapshot(items.mapKeys { InstanceId(it.key) }, nowMs())
            publish()
        }

        override fun onChanges(items: List<Pair<String, UpstreamEntry?>>, provenAt: ClockReading) = control.post {
            if (items.isEmpty()) return@post
            items.forEach { (id, entry) -> directory.onRecord(InstanceId(id), entry, nowMs()) }
            publish()
        }

        override fun onStoreRecovered(atMs: Long) = control.post { directory.onStoreRecovered(atMs) }
    }

    // A different reader may state an earlier time of proof than the previous reader did.
    private fun later(known: ClockReading?, new: ClockReading): ClockReading =
        if (known != null && known.steadyMs > new.steadyMs) known else new

    private fun accept(config: RoutingConfig) {
        if (gate.accept(config)) {
            log.info("config: version {} with {} routes is in force", config.version, config.routes.size)
        } else {
            log.info("config: version {} is not newer than {}", config.version, gate.table?.config?.version)
        }
    }

    private fun warnMalformed(key: String) =
        log.warn("config: record {} could not be decoded; the configuration in force is kept", key)

    private fun publish() {
        directory.expire(nowMs())
        val usable = directory.usable
        statements.retain(usable)
        val known = upstreams.values.flatten().associateBy { it.id }
        val present = usable.associateBy { it.id }
        if (known == present) return
        (present.keys - known.keys).forEach { log.info("upstream: {} is usable", present.getValue(it)) }
        (known.keys - present.keys).forEach { log.info("upstream: {} gets no new work", it) }
        upstreams = usable.groupBy { it.service }.mapValues { UpstreamList.of(it.value) }
        loads.retain(present.keys)
    }

    private companion object {
        const val EXPIRY_PERIOD_MS = 500L
        val log = LoggerFactory.getLogger(FleetView::class.java)
    }
}
