package org.godwitwick.lab.process

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.godwitwick.node.security.KeyEntry
import org.godwitwick.node.security.sha256Hex
import org.godwitwick.node.settings.KeyFile
import org.godwitwick.node.settings.NodeSettings
import org.godwitwick.standins.run.Location
import org.godwitwick.standins.run.RunningSet
import org.godwitwick.standins.run.StandinSet
import org.godwitwick.standins.run.StandinSpec
import org.godwitwick.standins.run.listRow
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** A process that runs stand-ins; [addresses] maps their ids to `ip:port`. */
class StandinProcess(val process: FleetProcess, val addresses: Map<String, String>)

/** A process that runs an entry instance with [settings]. */
class EntryProcess(val process: FleetProcess, val settings: NodeSettings) {
    /** `ip:port` that callers use. */
    val address: String get() = "${settings.host}:${settings.httpPort}"

    /** Row of the instance on the instance list. */
    fun row(): JsonObject {
        val row = listRow("entry", settings.instanceId, "", address, Location(settings.region, settings.dataCentre))
        return JsonObject(row + ("peer_address" to JsonPrimitive("${settings.host}:${settings.peerPort}")))
    }
}

/**
 * Starts stand-ins and entry instances as child processes with the class path of this process. No other class of the lab starts
 * such processes. [close] kills all processes that this fleet started and deletes its temporary directory.
 */
class ProcessFleet : AutoCloseable {
    private val directory: Path = Files.createTempDirectory("godwitwick-lab-")
    private val started = ArrayList<Process>()
    private val entries = ArrayList<EntryProcess>()

    /** Starts a process [name] that runs all stand-ins of [specs] and waits until they accept requests. */
    fun startStandins(name: String, specs: List<StandinSpec>): StandinProcess {
        val file = directory.resolve("$name.json")
        Files.writeString(file, json.encodeToString(StandinSet.serializer(), StandinSet(specs)))
        val process = start(name, STANDIN_HEAP, STANDINS_MAIN, listOf("run", file.toString()))
        awaitLog(process, RunningSet.READY_PREFIX)
        val line = process.log.lines().first { it.startsWith(RunningSet.READY_PREFIX) }
        val addresses = json.parseToJsonElement(line.removePrefix(RunningSet.READY_PREFIX)).jsonObject
        return StandinProcess(process, addresses.mapValues { it.value.jsonPrimitive.content })
    }

    /**
     * Starts an entry instance with command line [options] and waits until it is ready. The ports and the key and secret files in
     * [settings] are replaced.
     */
    fun startEntry(settings: NodeSettings, options: List<String> = emptyList()): EntryProcess {
        val boundSettings = settings.copy(
            httpPort = freePort(),
            peerPort = freePort(),
            keysFile = KEYS_FILE,
            peerSecretFile = SECRET_FILE,
        )
        Files.writeString(directory.resolve(KEYS_FILE), json.encodeToString(KeyFile.serializer(), keys))
        Files.writeString(directory.resolve(SECRET_FILE), PEER_SECRET)
        val file = directory.resolve("${settings.instanceId}.json")
        Files.writeString(file, json.encodeToString(NodeSettings.serializer(), boundSettings))
        val process = start(settings.instanceId, ENTRY_HEAP, CLI_MAIN, listOf("serve", file.toString()) + options)
        val entry = EntryProcess(process, boundSettings)
        await("${settings.instanceId} ready") {
            check(process.isAlive) { "${process.name} exited before it was ready; log:\n${process.log}" }
            LabClient.status(entry.address, "/readyz") == READY_STATUS
        }
        entries += entry
        return entry
    }

    /** Replaces the rows of the instance list at [list] (`ip:port`) by [upstreams] and the entry instances started so far. */
    fun publishList(list: String, upstreams: List<JsonObject>) = LabClient.putList(list, upstreams + entries.map { it.row() })

    private fun start(name: String, heap: String, mainClass: String, arguments: List<String>): FleetProcess {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val logFile = directory.resolve("$name.log")
        val command = listOf(java, "-Xmx$heap") + JVM_OPTIONS +
            listOf("-cp", System.getProperty("java.class.path"), ChildProcessMain::class.java.name, mainClass) + arguments
        val process = ProcessBuilder(command).redirectErrorStream(true).redirectOutput(logFile.toFile()).start()
        started += process
        return FleetProcess(name, process, logFile)
    }

    private fun awaitLog(process: FleetProcess, prefix: String) = await("${process.name} ready") {
        check(process.isAlive) { "${process.name} exited before it was ready; log:\n${process.log}" }
        process.log.lines().dropLast(1).any { it.startsWith(prefix) }
    }

    // SIGKILL also ends suspended processes.
    override fun close() {
        started.forEach { it.destroyForcibly() }
        started.forEach { it.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS) }
        directory.toFile().deleteRecursively()
    }

    companion object {
        /** API key of a caller of the organisation `caterer`. */
        const val CALLER_KEY = "lab-caller-key"

        /** API key of the operator `lab-operator`. */
        const val OPERATOR_KEY = "lab-operator-key"
        private const val STANDINS_MAIN = "org.godwitwick.standins.run.MainKt"
        private const val CLI_MAIN = "org.godwitwick.cli.MainKt"
        private const val KEYS_FILE = "keys.json"
        private const val SECRET_FILE = "peer-secret"
        private const val PEER_SECRET = "lab-peer-secret-of-the-instances"
        private const val ENTRY_HEAP = "128m"
        private const val STANDIN_HEAP = "192m"
        private const val READY_STATUS = 200
        private const val EXIT_TIMEOUT_SECONDS = 10L

        // Selects the product's configuration; otherwise a test configuration on the class path would take precedence.
        private const val PRODUCT_LOGGING = "-Dlogback.configurationFile=logback.xml"
        private val JVM_OPTIONS = listOf("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xss512k", PRODUCT_LOGGING)
        private val json = Json {
            classDiscriminator = "kind"
            encodeDefaults = true
        }
        private val keys = KeyFile(
            listOf(
                KeyEntry(sha256Hex(CALLER_KEY), organisation = "caterer"),
                KeyEntry(sha256Hex(OPERATOR_KEY), operator = "lab-operator"),
            ),
        )
    }
}
