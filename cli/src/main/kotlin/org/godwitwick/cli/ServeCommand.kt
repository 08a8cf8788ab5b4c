package org.godwitwick.cli

import com.github.michaelbull.result.getOrElse
import org.godwitwick.node.entry.EntryNode
import org.godwitwick.node.settings.SettingsFault
import org.godwitwick.node.settings.readKeyFile
import org.godwitwick.node.settings.readNodeSettings
import org.godwitwick.node.settings.readPeerSecret
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import sun.misc.Signal
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch

/** Format of the log lines. */
enum class LogFormat { TEXT, JSON }

/** Runs one entry instance until SIGTERM or SIGINT. */
@Command(name = "serve", mixinStandardHelpOptions = true, description = ["Runs one entry instance."])
class ServeCommand : Callable<Int> {
    @Parameters(index = "0", paramLabel = "SETTINGS", description = ["Settings file, JSON with comments."])
    lateinit var settingsPath: Path

    @Option(names = ["--log-format"], description = ["Format of log lines on standard error: text or json."])
    var logFormat: LogFormat? = null

    override fun call(): Int {
        logFormat?.let { System.setProperty(LOG_FORMAT_PROPERTY, it.name.lowercase()) }
        val settings = readNodeSettings(settingsPath).getOrElse { return report(it) }
        val keysPath = settingsPath.resolveSibling(settings.keysFile)
        val keys = readKeyFile(keysPath).getOrElse { return report(it) }
        val secret = settings.peerSecretFile?.let { file ->
            readPeerSecret(settingsPath.resolveSibling(file)).getOrElse { return report(it) }
        }
        return serve(EntryNode(settings, keys, secret))
    }

    private fun serve(node: EntryNode): Int = node.use {
        val terminated = CountDownLatch(1)
        onTerminationSignal {
            node.beginDrain()
            terminated.countDown()
        }
        node.start()
        terminated.await()
        node.awaitDrained()
        0
    }

    // After a shutdown hook the process would exit with the code of the signal; a signal handler allows it to exit with 0. The
    // handler stays installed, so a second signal has no further effect.
    private fun onTerminationSignal(action: () -> Unit) {
        listOf("TERM", "INT").forEach { name -> Signal.handle(Signal(name)) { action() } }
    }

    private fun report(faults: List<SettingsFault>): Int {
        faults.forEach { System.err.println(it) }
        return EXIT_BAD_SETTINGS
    }

    private companion object {
        const val EXIT_BAD_SETTINGS = 2
        const val LOG_FORMAT_PROPERTY = "GODWITWICK_LOG_FORMAT"
    }
}
