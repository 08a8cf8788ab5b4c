package org.godwitwick.lab.starts

import org.godwitwick.standins.platform.FakePlatformStore
import org.godwitwick.standins.platform.InstancePorts
import org.godwitwick.standins.platform.platformConfig
import org.godwitwick.standins.platform.platformSettings
import org.godwitwick.standins.platform.upstreamRegistration
import java.io.File
import java.io.IOException
import java.net.HttpURLConnection
import java.net.Socket
import java.net.URI
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/**
 * A moment of a start, in order.
 *
 * @property label description for the table.
 */
internal enum class StartStep(val label: String) {
    SETTINGS_OPENED("main opens the settings file"),
    CONNECTION_ACCEPTED("first accepted connection"),
    READY("ready"),
    SETTLED("2 s after ready"),
    STOPPED_SERVING("2 s after the signal"),
}

/**
 * One start of an instance.
 *
 * @property processorMs processor time that the process had used at each step, in milliseconds.
 * @property threadMs processor time by thread name when the instance became ready, most first.
 */
internal class MeasuredStart private constructor(
    val processorMs: Map<StartStep, Double>,
    val threadMs: List<Pair<String, Double>>,
) {
    internal companion object {
        private const val NS_PER_MS = 1e6
        private const val POLL_MS = 5L
        private const val SETTLING_MS = 2_000L
        private const val STOP_LIMIT_MS = 10_000L
        private const val START_LIMIT_MS = 60_000L

        /** Starts an instance beside a stand-in of the store with one upstream, and stops it. The JVM also gets [flags]. */
        fun run(vararg flags: String): MeasuredStart = FakePlatformStore().use { store ->
            store.put("keyed.op", "config", platformConfig(1, mapOf("caterer" to listOf("key-1"))))
            store.put("keyed.servers", "u1", upstreamRegistration("desk", "127.0.0.1:1"))
            val ports = InstancePorts.free()
            val settings = platformSettings(store.address, revocationMs = 5_000, ports = ports)
            // A pipe, so that the moment at which main opens the file is known without a change to the process.
            val pipe = Files.createTempDirectory("starts").resolve("settings.json")
            check(ProcessBuilder("mkfifo", pipe.toString()).start().waitFor() == 0) { "mkfifo failed" }
            val builder = ProcessBuilder(commandLine().let { it.take(1) + flags + it.drop(1) }).redirectErrorStream(true)
                .redirectOutput(File("target/platform/starts.log"))
            builder.environment()["GODWITWICK_SETTINGS"] = pipe.toString()
            val process = builder.start()
            try {
                measure(process, pipe, settings, ports)
            } finally {
                process.destroyForcibly().waitFor(1, TimeUnit.SECONDS)
                Files.delete(pipe)
            }
        }

        // The command line of the role as the deployment states it.
        private fun commandLine(): List<String> = Files.readAllLines(Path.of("deploy/system.toml"))
            .first { it.startsWith("run = ") }.substringAfter('"').substringBeforeLast('"').split(' ')

        private fun measure(process: Process, pipe: Path, settings: String, ports: InstancePorts): MeasuredStart {
            val processorMs = LinkedHashMap<StartStep, Double>()
            val note = { step: StartStep -> processorMs[step] = threadTimes(process.pid()).sumOf { it.second } }
            Files.newOutputStream(pipe).use {
                note(StartStep.SETTINGS_OPENED)
                it.write(settings.toByteArray())
            }
            await { isConnected(ports.callers) }
            note(StartStep.CONNECTION_ACCEPTED)
            await { isReady(ports.readiness) }
            note(StartStep.READY)
            val threadMs = threadTimes(process.pid()).groupBy({ it.first }, { it.second }).mapValues { it.value.sum() }
            Thread.sleep(SETTLING_MS)
            note(StartStep.SETTLED)
            process.destroy()
            Thread.sleep(SETTLING_MS)
            note(StartStep.STOPPED_SERVING)
            check(process.waitFor(STOP_LIMIT_MS, TimeUnit.MILLISECONDS)) { "the instance did not stop" }
            return MeasuredStart(processorMs, threadMs.toList().sortedByDescending { it.second })
        }

        // Name and processor time of each thread. Threads that have ended are missing.
        private fun threadTimes(pid: Long): List<Pair<String, Double>> =
            File("/proc/$pid/task").listFiles().orEmpty().mapNotNull { task ->
                try {
                    val ranNs = task.resolve("schedstat").readText().substringBefore(' ').toLong()
                    task.resolve("comm").readText().trim() to ranNs / NS_PER_MS
                } catch (_: IOException) {
                    null
                }
            }

        private fun await(condition: () -> Boolean) {
            val endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_LIMIT_MS)
            while (!condition()) {
                check(System.nanoTime() < endNs) { "the instance did not start; see target/platform/starts.log" }
                Thread.sleep(POLL_MS)
            }
        }

        private fun isConnected(port: Int) = try {
            Socket("127.0.0.1", port).close()
            true
        } catch (_: IOException) {
            false
        }

        private fun isReady(port: Int) = try {
            (URI("http://127.0.0.1:$port/v1/readiness").toURL().openConnection() as HttpURLConnection).responseCode ==
                HttpURLConnection.HTTP_OK
        } catch (_: IOException) {
            false
        }
    }
}
