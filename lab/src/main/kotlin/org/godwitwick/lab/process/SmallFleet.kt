package org.godwitwick.lab.process

import kotlinx.serialization.json.JsonObject
import org.godwitwick.node.settings.NodeSettings
import org.godwitwick.standins.run.EngineStandin
import org.godwitwick.standins.run.ListStandin
import org.godwitwick.standins.run.Location
import org.godwitwick.standins.run.LogStandin
import org.godwitwick.standins.run.ServiceStandin
import org.godwitwick.standins.run.listRow

/**
 * One instance list, one log, the given engines in a process each and behind a forwarder each, and as many entry instances as are started.
 *
 * @property stallTimeoutMs the entry instances' setting; an engine that sends nothing during prefill must be done within it.
 * @property services plain services of the fleet.
 * @property tap observer of what engines send; see [TcpForwarder].
 */
class SmallFleet(
    specs: List<EngineStandin>,
    private val stallTimeoutMs: Long = 10_000,
    private val services: List<ServiceStandin> = emptyList(),
    private val tap: () -> ((String, Long) -> Unit) = { { _, _ -> } },
) : AutoCloseable {
    private val fleet = ProcessFleet()
    private val started = ArrayList<Pair<FleetProcess, TcpForwarder>>()
    private val list: String
    private val log: String
    private val serviceAddresses: Map<String, String>
    private val upstreams: List<JsonObject>

    /** Processes of the engines. */
    val engines: List<FleetProcess> get() = started.map { it.first }

    /** Forwarders in front of the engines, in the same order. */
    val forwarders: List<TcpForwarder> get() = started.map { it.second }

    init {
        try {
            val platform = fleet.startStandins("platform", listOf(ListStandin(), LogStandin()) + services).addresses
            list = platform.getValue("list")
            log = platform.getValue("log")
            serviceAddresses = services.associate { it.id to platform.getValue(it.id) }
            specs.forEach(::startEngine)
            val engineRows = specs.zip(forwarders) { spec, it ->
                listRow("engine", spec.id, spec.model, it.address, spec.location)
            }
            upstreams = engineRows + services.map { listRow("service", it.id, it.service, platform.getValue(it.id), it.location) }
            fleet.publishList(list, upstreams)
        } catch (e: IllegalStateException) {
            close()
            throw e
        }
    }

    private fun startEngine(spec: EngineStandin) {
        val standin = fleet.startStandins(spec.id, listOf(spec))
        started += standin.process to TcpForwarder(standin.addresses.getValue(spec.id), tap)
    }

    /** Starts the entry instance [id] with command line [options] and waits until it is ready. */
    fun entry(id: String = "entry-1", options: List<String> = emptyList()): EntryProcess = fleet.startEntry(settings(id), options)

    /** Switches the faults of the service [id] to [faults], a JSON object. */
    fun serviceFaults(id: String, faults: String) {
        val answer = LabClient.post(serviceAddresses.getValue(id), "/faults", faults, key = "none")
        check(answer.status == OK) { "faults of $id: $answer" }
    }

    /** Whether the log holds a record of a claim on [service]; an empty marker record has no more than [MARKER_CHARS] characters. */
    fun hasClaim(service: String): Boolean = (0 until SHARDS).any { shard ->
        val page = LabClient.text(log, "/streams/claims-$service-$shard/records?from=0&max=10&wait_ms=0")
        recordData.findAll(page).any { it.groupValues[1].length > MARKER_CHARS }
    }

    /** Puts the entry instances started so far on the instance list and waits until each knows the others and serves. */
    fun listEntries(entries: List<EntryProcess>) {
        fleet.publishList(list, upstreams)
        entries.forEach { entry ->
            await("${entry.settings.instanceId} serves") {
                knownInstances(entry) == entries.size && LabClient.stream(entry.address, "a note", 1).isComplete
            }
        }
    }

    private fun knownInstances(entry: EntryProcess): Int =
        liveState.findAll(LabClient.text(entry.address, "/admin/v1/instances", ProcessFleet.OPERATOR_KEY)).count()

    private fun settings(id: String) = NodeSettings(
        instanceId = id,
        region = LOCATION.region,
        dataCentre = LOCATION.dataCentre,
        httpPort = 0,
        keysFile = "",
        logUrl = "http://$log",
        instanceListUrl = "http://$list",
        listPollMs = 100,
        drainNoticeMs = 1_000,
        stallTimeoutMs = stallTimeoutMs,
    )

    override fun close() {
        forwarders.forEach { it.close() }
        fleet.close()
    }

    companion object {
        /** Where all processes of the fleet are listed. */
        val LOCATION = Location("tn-north", "tn-north-a")

        private const val OK = 200
        private const val SHARDS = 32
        private const val MARKER_CHARS = 40
        private val recordData = Regex("\"data\":\"([^\"]*)\"")
        private val liveState = Regex("\"state\":\"live\"")

        /** Model of the engines. */
        const val MODEL = "menu"

        /** An engine at [LOCATION]. */
        fun engine(id: String, tokenGapMs: Double, prefillTokensPerSecond: Double = 40_000.0) =
            EngineStandin(id, MODEL, LOCATION, prefillTokensPerSecond = prefillTokensPerSecond, tokenGapMs = tokenGapMs)
    }
}
