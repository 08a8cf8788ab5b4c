package org.godwitwick.node.forward

import org.godwitwick.core.forward.ClockReading
import org.godwitwick.core.forward.ConfigGate
import org.godwitwick.core.forward.Evacuations
import org.godwitwick.core.forward.OperatorRecord
import org.godwitwick.core.forward.Placement
import org.godwitwick.core.forward.RoutingConfig
import org.godwitwick.core.forward.RoutingState
import org.godwitwick.core.forward.UpstreamDirectory
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.UpstreamList
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.control.ControlThread
import org.slf4j.LoggerFactory

/**
 * Routing configuration, evacuations and upstreams as last read from the store. Written by the control thread; other threads read
 * the published snapshots.
 *
 * @param evacuationMs time within which an evacuation is in force.
 */
class FleetView(
    private val control: ControlThread,
    private val loads: UpstreamLoads,
    private val statements: UpstreamStatements,
    private val cold: ColdTracker,
    evacuationMs: Long,
    private val nowMs: () -> Long,
) {
    private val gate = ConfigGate()
    private val directory = UpstreamDirectory()
    private val evacuations = Evacuations(evacuationMs)
    private val reported = HashSet<String>()

    /** The routing table in force and when it was last proven to be current. */
    @Volatile
    var routing = RoutingState(null, null)
        private set

    /** Upstreams that may get new work, by service; ordered once for all requests. */
    @Volatile
    var upstreams: Map<String, UpstreamList> = emptyMap()
        private set

    /** Whether an upstream is registered that is not leaving, be its data centre evacuated or not. */
    @Volatile
    var hasRegistered = false
        private set

    /** The evacuated data centres. */
    @Volatile
    var evacuated: Set<String> = emptySet()
        private set

    init {
        control.every(EXPIRY_PERIOD_MS) { publish() }
    }

    /** Listener of the feed of the operators' records. */
    val operatorListener = object : FeedListener<OperatorRecord> {
        private var position = FeedPosition(0, 0)

        override fun onPosition(position: FeedPosition) {
            this.position = position
        }

        override fun onSnapshot(items: Map<String, OperatorRecord?>, provenAt: ClockReading) {
            val at = position
            control.post {
                val present = items.values.filterIsInstance<OperatorRecord.Evacuation>().filterNot { it.isWithdrawn }
                evacuations.onSnapshot(present.mapTo(HashSet()) { it.dataCentre }, at.era, at.offset)
                items.filterValues { it !is OperatorRecord.Evacuation }.forEach(::accept)
                onRead(provenAt)
            }
        }

        override fun onChanges(items: List<Pair<String, OperatorRecord?>>, provenAt: ClockReading) {
            val at = position
            control.post {
                items.forEach { (key, record) -> accept(key, record) }
                evacuations.onPosition(at.era, at.offset)
                onRead(provenAt)
            }
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

    // A configuration is in force only when the evacuations read with it and the limits of its cold upstreams are.
    private fun onRead(provenAt: ClockReading) {
        if (gate.table !== routing.table || evacuations.hasEnded || evacuations.dataCentres != evacuated) publish()
        routing = RoutingState(gate.table, later(routing.provenAt, provenAt))
    }

    private fun accept(key: String, record: OperatorRecord?) = when (record) {
        is OperatorRecord.Configuration -> accept(record.config)
        is OperatorRecord.Evacuation -> evacuations.onRecord(record)
        null -> warnMalformed(key)
    }

    private fun accept(config: RoutingConfig) {
        if (gate.accept(config)) {
            evacuations.onNewerConfiguration(nowMs())
            log.info("config: version {} with {} routes is in force", config.version, config.routes.size)
        } else {
            log.info("config: version {} is not newer than {}", config.version, gate.table?.config?.version)
        }
    }

    private fun warnMalformed(key: String) =
        log.warn("config: record {} could not be decoded; the configuration in force is kept", key)

    /** Whether [entry] is in no evacuated data centre. */
    fun isUsable(entry: UpstreamEntry): Boolean = evacuated.let { it.isEmpty() || entry.dataCentre !in it }

    /** Whether neither the upstream of [placement] nor one of its helpers is in an evacuated data centre. */
    fun isUsable(placement: Placement): Boolean =
        evacuated.isEmpty() || (isUsable(placement.upstream) && placement.helpers.all { isUsable(it.upstream) })

    private fun publish() {
        directory.expire(nowMs())
        evacuations.expire(nowMs())
        val current = evacuations.dataCentres
        val registered = directory.usable
        hasRegistered = registered.isNotEmpty()
        statements.retain(registered)
        // Before they are published, so that no request is sent to an upstream that is not known to be cold yet.
        cold.onRegistered(registered, evacuations.takeEnded(), gate.table)
        publishUsable(if (current.isEmpty()) registered else registered.filter { it.dataCentre !in current })
        reportEvacuations(current, registered)
        evacuated = current
    }

    private fun publishUsable(usable: List<UpstreamEntry>) {
        val known = upstreams.values.flatten().associateBy { it.id }
        val present = usable.associateBy { it.id }
        if (known == present) return
        (present.keys - known.keys).forEach { log.info("upstream: {} is usable", present.getValue(it)) }
        (known.keys - present.keys).forEach { log.info("upstream: {} gets no new work", it) }
        upstreams = usable.groupBy { it.service }.mapValues { UpstreamList.of(it.value) }
        loads.retain(present.keys)
    }

    // An evacuation may be read before the registrations, so it is reported once those are known.
    private fun reportEvacuations(current: Set<String>, registered: List<UpstreamEntry>) {
        (evacuated - current).forEach { log.info("evacuation: that of {} is withdrawn", it) }
        reported.retainAll(current)
        if (registered.isEmpty()) return
        (current - reported).forEach { dataCentre ->
            reported += dataCentre
            val count = registered.count { it.dataCentre == dataCentre }
            if (count > 0) {
                val remaining = upstreams.values.sumOf { it.size }
                log.info("evacuation: {} upstreams of {} get no new work, {} remain", count, dataCentre, remaining)
            } else {
                log.warn("evacuation: {} has no registered upstream; the evacuation stays in force", dataCentre)
            }
        }
    }

    private companion object {
        const val EXPIRY_PERIOD_MS = 500L
        val log = LoggerFactory.getLogger(FleetView::class.java)
    }
}
