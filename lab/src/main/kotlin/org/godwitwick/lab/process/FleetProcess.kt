package org.godwitwick.lab.process

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** A process started by a [ProcessFleet]. Its standard output and error are redirected to [logFile]. */
class FleetProcess(val name: String, private val process: Process, private val logFile: Path) {
    val pid: Long get() = process.pid()
    val isAlive: Boolean get() = process.isAlive

    /** Contents of the log file: all output of the process so far. */
    val log: String get() = Files.readString(logFile)

    /** Sends SIGTERM. */
    fun terminate() = signal("TERM")

    /** Sends SIGKILL. */
    fun kill() {
        process.destroyForcibly()
    }

    /** Suspends the process with SIGSTOP; its connections stay open. */
    fun freeze() = signal("STOP")

    /** Resumes a process after [freeze], with SIGCONT. */
    fun resume() = signal("CONT")

    /** Closes the standard input of the process, which also happens when the lab process ends. */
    fun closeInput() = process.outputStream.close()

    /** Waits for the process to exit and returns its exit code; throws [IllegalStateException] after [timeoutMs] milliseconds. */
    fun awaitExit(timeoutMs: Long): Int {
        check(process.waitFor(timeoutMs, TimeUnit.MILLISECONDS)) { "$name did not exit within $timeoutMs ms; log:\n$log" }
        return process.exitValue()
    }

    private fun signal(name: String) {
        val command = ProcessBuilder("kill", "-$name", pid.toString()).inheritIO().start()
        check(command.waitFor() == 0) { "could not send signal $name to ${this.name}" }
    }
}
