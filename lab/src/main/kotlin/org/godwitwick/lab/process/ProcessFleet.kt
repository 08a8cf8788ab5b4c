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
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** A process of stand-ins with the addresses (`ip:port`) by id. */
class StandinProcess(val process: FleetProcess, val addresses: Map<String, String>)

/** An entry instance as a process. */
class EntryProcess(val process: FleetProcess, val settings: NodeSettings) {
    /** `ip:port` for callers. */
    val address: String get() = "${settings.host}:${settings.httpPort}"

    /** The instance's row on the instance list. */
    fun row(): JsonObject {
        val row = listRow("entry", settings.instanceId, "", address, Location(settings.region, settings.dataCentre))
        return JsonObject(row + ("peer_address" to JsonPrimitive("${settings.host}:${settings.peerPort}")))
    }
}

/**
 * Starts stand-ins and entry instances as processes of their own, from this process' class path. It is the only place that starts
 * processes. [close] ends all that it started and removes its temporary directory.
 */
class ProcessFleet : AutoCloseable {
    private val directory: Path = Files.createTempDirectory("godwitwick-lab-")
    private val started = ArrayList<Process>()
    private val entries = ArrayList<EntryProcess>()

    /** Starts [specs] in one process and waits until all of them serve. */
    fun startStandins(name: String, specs: List<StandinSpec>): StandinProcess {
        val file = directory.resolve("$name.json")
        Files.writeString(file, json.encodeToString(StandinSet.serializer(), StandinSet(specs)))
        val process = start(name, STANDIN_HEAP, STANDINS_MAIN, listOf("run", file.toString()))
        awaitLog(process, RunningSet.READY_PREFIX)
        val line = process.log.lines().first { it.startsWith(RunningSet.READY_PREFIX) }
        val addresses = json.parseToJsonElement(line.removePrefix(RunningSet.READY_PREFIX)).jsonObject
        return StandinProcess(process, addresses.mapValues { it.value.jsonPrimitive.content })
    }

    /** Starts an entry instance and waits until it is ready. */
    fun startEntry(settings: NodeSettings, options: List<String> = emptyList()): EntryProcess {
        val placed = settings.copy(
            httpPort = freePort(),
            peerPort = freePort(),
            keysFile = KEYS_FILE,
            peerSecretFile = SECRET_FILE,
        )
        Files.writeString(directory.resolve(KEYS_FILE), json.encodeToString(KeyFile.serializer(), keys))
        Files.writeString(directory.resolve(SECRET_FILE), PEER_SECRET)
        val file = directory.resolve("${settings.instanceId}.json")
        Files.writeString(file, json.encodeToString(NodeSettings.serializer(), placed))
        val process = start(settings.instanceId, ENTRY_HEAP, CLI_MAIN, listOf("serve", file.toString()) + options)
        val entry = EntryProcess(process, placed)
        await("${settings.instanceId} ready") {
            check(process.isAlive) { "${process.name} ended; log:\n${process.log}" }
            LabClient.status(entry.address, "/readyz") == READY_STATUS
        }
        entries += entry
        return entry
    }

    /** Replaces the instance list at [list] by [upstreams] and the entry instances started so far. */
    fun publishList(list: String, upstreams: List<JsonObject>) = LabClient.putList(list, upstreams + entries.map { it.row() })

    private fun start(name: String, heap: String, mainClass: String, arguments: List<String>): FleetProcess {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val logFile = directory.resolve("$name.log")
        val command = listOf(java, "-Xmx$heap") + JVM_OPTIONS +
            listOf("-cp", System.getProperty("java.class.path"), GuardedMain::class.java.name, mainClass) + arguments
        val process = ProcessBuilder(command).redirectErrorStream(true).redirectOutput(logFile.toFile()).start()
        started += process
        return FleetProcess(name, process, logFile)
    }

    private fun awaitLog(process: FleetProcess, lineStart: String) = await("${process.name} ready") {
        check(process.isAlive) { "${process.name} ended; log:\n${process.log}" }
        process.log.lines().dropLast(1).any { it.startsWith(lineStart) }
    }

    // SIGKILL also ends frozen processes.
    override fun close() {
        started.forEach { it.destroyForcibly() }
        started.forEach { it.waitFor(END_SECONDS, TimeUnit.SECONDS) }
        directory.toFile().deleteRecursively()
    }

    companion object {
        /** Key of the caller of the organisation `caterer`. */
        const val CALLER_KEY = "lab-caller-key"

        /** Key of an operator. */
        const val OPERATOR_KEY = "lab-operator-key"
        private const val STANDINS_MAIN = "org.godwitwick.standins.run.MainKt"
        private const val CLI_MAIN = "org.godwitwick.cli.MainKt"
        private const val KEYS_FILE = "keys.json"
        private const val SECRET_FILE = "peer-secret"
        private const val PEER_SECRET = "lab-peer-secret-of-the-instances"
        private const val ENTRY_HEAP = "128m"
        private const val STANDIN_HEAP = "192m"
        private const val READY_STATUS = 200
        private const val END_SECONDS = 10L

        // Outside the range from which the system takes ports of outgoing connections, so that those can't take it meanwhile.
        private const val FIRST_PORT = 20_000
        private const val LAST_PORT = 30_000

        // Tests have a configuration of their own on the class path, which would come first.
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

        private fun freePort(): Int = generateSequence { Random.nextInt(FIRST_PORT, LAST_PORT) }.first { port ->
            try {
                ServerSocket(port, 1, InetAddress.getLoopbackAddress()).use { true }
            } catch (_: IOException) {
                false
            }
        }
    }
}
