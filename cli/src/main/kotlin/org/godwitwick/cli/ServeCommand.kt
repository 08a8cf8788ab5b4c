package org.godwitwick.cli

import com.github.michaelbull.result.getOrElse
import org.godwitwick.node.entry.EntryNode
import org.godwitwick.node.settings.SettingsFault
import org.godwitwick.node.settings.readKeyFile
import org.godwitwick.node.settings.readNodeSettings
import org.godwitwick.node.settings.readPeerSecret
import picocli.CommandLine.Command
import picocli.CommandLine.Parameters
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch

/** Runs one entry instance until it is terminated. */
@Command(name = "serve", mixinStandardHelpOptions = true, description = ["Runs one entry instance."])
class ServeCommand : Callable<Int> {
    @Parameters(index = "0", paramLabel = "SETTINGS", description = ["Settings file, JSON with comments."])
    lateinit var settingsPath: Path

    override fun call(): Int {
        val settings = readNodeSettings(settingsPath).getOrElse { return report(it) }
        val keysPath = settingsPath.resolveSibling(settings.keysFile)
        val keys = readKeyFile(keysPath).getOrElse { return report(it) }
        val secret = settings.peerSecretFile?.let { file ->
            readPeerSecret(settingsPath.resolveSibling(file)).getOrElse { return report(it) }
        }
        val node = EntryNode(settings, keys, secret)
        val stopped = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(
            Thread {
                node.close()
                stopped.countDown()
            },
        )
        node.start()
        stopped.await()
        return 0
    }

    private fun report(faults: List<SettingsFault>): Int {
        faults.forEach { System.err.println(it) }
        return EXIT_BAD_SETTINGS
    }

    private companion object {
        const val EXIT_BAD_SETTINGS = 2
    }
}
