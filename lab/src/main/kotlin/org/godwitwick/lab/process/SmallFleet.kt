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
 * A fleet of processes for tests and demos: one for the instance list, the log and the plain services, one for each engine, and
 * one for each entry instance that is started. A [TcpForwarder] in front of each engine can disturb its connections.
 *
 * @param specs settings of the engines.
 * @property stallTimeoutMs setting of the entry instances; an engine that sends nothing during prefill must finish the prefill
 * within this time.
 * @property services settings of the plain services.
 * @property otherRows rows of the instance list for upstreams that the fleet does not start.
 * @property newObserver creates an observer of what an engine sends on a connection; see [TcpForwarder].
 */
class SmallFleet(
    specs: List<EngineStandin>,
    private val stallTimeoutMs: Long = 10_000,
    private val services: List<ServiceStandin> = emptyList(),
    private val otherRows: List<JsonObject> = emptyList(),
    private val newObserver: () -> ((String, Long) -> Unit) = { { _, _ -> } },
) : AutoCloseable {
    private val fleet = ProcessFleet()
    private val started = ArrayList<Pair<FleetProcess, TcpForwarder>>()
    private val list: String
    private val log: String
    private val serviceAddresses: Map<String, String>
    private val upstreams: List<JsonObject>

    /** Processes of the engines, in the order of their settings. */
    val engines: List<FleetProcess> get() = started.map { it.first }

    /** Forwarders in front of the engines, in the order of [engines]. */
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
            upstreams =
                engineRows + services.map { listRow("service", it.id, it.service, platform.getValue(it.id), it.location) } +
                otherRows
            fleet.publishList(list, upstreams)
        } catch (e: IllegalStateException) {
            close()
            throw e
        }
    }

    private fun startEngine(spec: EngineStandin) {
        val standin = fleet.startStandins(spec.id, listOf(spec))
        started += standin.process to TcpForwarder(standin.addresses.getValue(spec.id), newObserver)
    }

    /** Starts an entry instance with [id] and command line [options] and waits until it is ready. */
    fun entry(id: String = "entry-1", options: List<String> = emptyList()): EntryProcess = fleet.startEntry(settings(id), options)

    /** Replaces the faults of the service [id] by [faults], a JSON object. */
    fun serviceFaults(id: String, faults: String) {
        val answer = LabClient.post(serviceAddresses.getValue(id), "/faults", faults, key = "none")
        check(answer.status == OK) { "could not set the faults of $id: $answer" }
    }

    /**
     * Whether the log contains a claim on [service]. Records of up to [MARKER_CHARS] characters are markers without a claim.
     */
    fun hasClaim(service: String): Boolean = (0 until SHARDS).any { shard ->
        val page = LabClient.text(log, "/streams/claims-$service-$shard/records?from=0&max=10&wait_ms=0")
        recordData.findAll(page).any { it.groupValues[1].length > MARKER_CHARS }
    }

    /**
     * Puts the entry instances started so far on the instance list and waits until each of [entries] lists as many live instances
     * as [entries] has and completes a request.
     */
    fun publishEntries(entries: List<EntryProcess>) {
        fleet.publishList(list, upstreams)
        entries.forEach { entry ->
            await("${entry.settings.instanceId} serves") {
                liveInstances(entry) == entries.size && LabClient.stream(entry.address, "a note", 1).isComplete
            }
        }
    }

    private fun liveInstances(entry: EntryProcess): Int =
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
        /** Location of all instances of the fleet on the instance list. */
        val LOCATION = Location("tn-north", "tn-north-a")

        private const val OK = 200
        private const val SHARDS = 32
        private const val MARKER_CHARS = 40
        private val recordData = Regex("\"data\":\"([^\"]*)\"")
        private val liveState = Regex("\"state\":\"live\"")

        /** Name of the model that the engines serve. */
        const val MODEL = "menu"

        /** Settings of an engine that serves [MODEL] at [LOCATION]. */
        fun engine(id: String, tokenGapMs: Double, prefillTokensPerSecond: Double = 40_000.0) =
            EngineStandin(id, MODEL, LOCATION, prefillTokensPerSecond = prefillTokensPerSecond, tokenGapMs = tokenGapMs)
    }
}
