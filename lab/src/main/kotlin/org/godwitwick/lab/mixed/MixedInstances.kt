package org.godwitwick.lab.mixed

import org.godwitwick.lab.process.FleetProcess
import org.godwitwick.lab.process.await
import org.godwitwick.standins.platform.InstancePorts
import org.godwitwick.standins.platform.PlatformCaller
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** An instance that keeps its name, ports and settings while its process is replaced. */
class MixedInstance(val name: String, val ports: InstancePorts, private val folder: Path, settings: String) {
    private val settingsFile = Files.writeString(folder.resolve("$name.json"), settings)
    private var starts = 0

    /** The running process, or null. */
    @Volatile
    var process: Pair<Process, FleetProcess>? = null
        private set

    /** Starts a process of [build]. */
    fun start(build: InstanceBuild) {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val log = folder.resolve("$name-${++starts}-${build.name}.log")
        val builder = ProcessBuilder(listOf(java) + FLAGS + build.javaArguments)
        builder.environment()["GODWITWICK_SETTINGS"] = settingsFile.toString()
        val started = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start()
        process = started to FleetProcess(name, started, log)
    }

    /** Asks the process to stop, kills it after [graceMs], and returns whether that was necessary. */
    fun stop(graceMs: Long): Boolean {
        val (started, fleetProcess) = process ?: return false
        if (started.isAlive) fleetProcess.terminate()
        val hasStopped = started.waitFor(graceMs, TimeUnit.MILLISECONDS)
        kill()
        return !hasStopped
    }

    /** Kills the process if it runs. */
    fun kill() {
        process?.first?.destroyForcibly()?.waitFor()
        process = null
    }

    private companion object {
        // Those of deploy/system.toml, without the class archive.
        val FLAGS = listOf(
            "-Xmx144m",
            "-Xss512k",
            "-XX:-UseContainerSupport",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:ReservedCodeCacheSize=32m",
        )
    }
}

/** The instances of a run, of which those that are ready are in rotation, as the platform probes them. */
class MixedInstances(private val seen: Observations, private val nowMs: () -> Long) : AutoCloseable {
    private val all = ArrayList<MixedInstance>()
    private val misses = ConcurrentHashMap<String, Int>()
    private val prober = PlatformCaller(deadlineMs = 1_000)
    private val onExit = Thread { all.forEach { it.kill() } }

    @Volatile
    private var isClosed = false

    init {
        Runtime.getRuntime().addShutdownHook(onExit)
        thread(isDaemon = true, name = "readiness") {
            while (!isClosed) {
                all.toList().forEach(::probe)
                Thread.sleep(PROBE_MS)
            }
        }
    }

    /** The instances to which new requests are sent. */
    val inRotation: List<MixedInstance> get() = all.filter { misses.getOrDefault(it.name, MAX_MISSES) < MAX_MISSES }

    /** Adds [instance] and starts it with [build]. */
    fun add(instance: MixedInstance, build: InstanceBuild) {
        instance.start(build)
        all += instance
        awaitReady(instance, build)
    }

    /** Replaces the process of [instance] by one of [build]. */
    fun replace(instance: MixedInstance, build: InstanceBuild, graceMs: Long) {
        seen.events += FleetEvent.Stopping(nowMs(), instance.name)
        val wasKilled = instance.stop(graceMs)
        seen.events += FleetEvent.Stopped(nowMs(), instance.name, wasKilled)
        instance.start(build)
        awaitReady(instance, build)
    }

    private fun awaitReady(instance: MixedInstance, build: InstanceBuild) {
        await("${instance.name} of ${build.name} is ready", START_TIMEOUT_MS) {
            check(instance.process?.first?.isAlive == true) { "${instance.name} of ${build.name} has ended at its start" }
            prober.readiness(instance.ports.readiness) == OK
        }
        seen.events += FleetEvent.Ready(nowMs(), instance.name, build.name)
    }

    private fun probe(instance: MixedInstance) {
        val isReady = prober.readiness(instance.ports.readiness) == OK
        misses.compute(instance.name) { _, before -> if (isReady) 0 else (before ?: MAX_MISSES) + 1 }
    }

    override fun close() {
        isClosed = true
        all.forEach { it.kill() }
        Runtime.getRuntime().removeShutdownHook(onExit)
        prober.close()
    }

    private companion object {
        const val PROBE_MS = 500L
        const val MAX_MISSES = 2
        const val OK = 200
        const val START_TIMEOUT_MS = 30_000L
    }
}
