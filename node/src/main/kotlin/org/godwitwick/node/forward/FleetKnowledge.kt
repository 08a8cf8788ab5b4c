package org.godwitwick.node.forward

import org.godwitwick.core.forward.ClockReading
import org.godwitwick.core.forward.ConfigGate
import org.godwitwick.core.forward.ConfigState
import org.godwitwick.core.forward.RoutingConfig
import org.godwitwick.core.forward.UpstreamDirectory
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.control.ControlThread
import org.slf4j.LoggerFactory

/** What this instance knows from the store. The control thread writes it; traffic threads read the published snapshots. */
class FleetKnowledge(private val control: ControlThread, private val loads: UpstreamLoads, private val nowMs: () -> Long) {
    private val gate = ConfigGate()
    private val directory = UpstreamDirectory()

    /** The configuration and its age. */
    @Volatile
    var config = ConfigState(null, null)
        private set

    /** Usable upstreams by service. */
    @Volatile
    var upstreams: Map<String, List<UpstreamEntry>> = emptyMap()
        private set

    init {
        control.every(EXPIRY_PERIOD_MS) { publish() }
    }

    /** Listener of the records of the configuration. */
    val configListener = object : FeedListener<RoutingConfig> {
        override fun onSnapshot(items: Map<String, RoutingConfig?>, provenAt: ClockReading) = onChanges(items.toList(), provenAt)

        override fun onChanges(items: List<Pair<String, RoutingConfig?>>, provenAt: ClockReading) = control.post {
            items.forEach { (key, config) -> if (config == null) unreadable(key) else accept(config) }
            this@FleetKnowledge.config = ConfigState(gate.table, later(config.provenAt, provenAt))
        }

        override fun onRegained(atMs: Long) = Unit
    }

    /** Listener of the registrations of upstreams. */
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

        override fun onRegained(atMs: Long) = control.post { directory.onStoreRecovered(atMs) }
    }

    // Another reader may have proved the configuration at an earlier moment than the last one did.
    private fun later(known: ClockReading?, new: ClockReading): ClockReading =
        if (known != null && known.steadyMs > new.steadyMs) known else new

    private fun accept(config: RoutingConfig) {
        if (gate.accept(config)) {
            log.info("config: version {} with {} routes is in force", config.version, config.routes.size)
        } else {
            log.info("config: version {} is not newer than {}", config.version, gate.table?.config?.version)
        }
    }

    private fun unreadable(key: String) = log.warn("config: the record {} can't be read; the configuration in force stays", key)

    private fun publish() {
        directory.expire(nowMs())
        val usable = directory.usable
        val known = upstreams.values.flatten().associateBy { it.id }
        val present = usable.associateBy { it.id }
        if (known == present) return
        (present.keys - known.keys).forEach { log.info("upstream: {} is usable", present.getValue(it)) }
        (known.keys - present.keys).forEach { log.info("upstream: {} gets no new work", it) }
        upstreams = usable.groupBy { it.service }
        loads.retain(present.keys)
    }

    private companion object {
        const val EXPIRY_PERIOD_MS = 500L
        val log = LoggerFactory.getLogger(FleetKnowledge::class.java)
    }
}
