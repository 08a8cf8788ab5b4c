package org.godwitwick.lab.process

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** One process that a [ProcessFleet] started; [logFile] gets its standard output and error. */
class FleetProcess(val name: String, private val process: Process, private val logFile: Path) {
    val pid: Long get() = process.pid()
    val isAlive: Boolean get() = process.isAlive

    /** Everything that the process has written so far. */
    val log: String get() = Files.readString(logFile)

    /** Sends SIGTERM. */
    fun terminate() = signal("TERM")

    /** Sends SIGKILL. */
    fun kill() {
        process.destroyForcibly()
    }

    /** Stops the process without ending it; its connections stay open. */
    fun freeze() = signal("STOP")

    /** Lets a frozen process go on. */
    fun wake() = signal("CONT")

    /** Ends the standard input of the process, as the end of this process would. */
    fun closeInput() = process.outputStream.close()

    /** Waits for the end of the process and returns its exit code. */
    fun awaitExit(timeoutMs: Long): Int {
        check(process.waitFor(timeoutMs, TimeUnit.MILLISECONDS)) { "$name did not end within $timeoutMs ms; log:\n$log" }
        return process.exitValue()
    }

    private fun signal(name: String) {
        val command = ProcessBuilder("kill", "-$name", pid.toString()).inheritIO().start()
        check(command.waitFor() == 0) { "signal $name was not delivered to ${this.name}" }
    }
}
