package org.godwitwick.cli

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import org.godwitwick.core.config.Publication
import org.godwitwick.core.config.faultsOf
import org.godwitwick.node.settings.SettingsFault
import org.godwitwick.node.settings.readJsonFile
import org.godwitwick.node.settings.readKeyFile
import org.godwitwick.node.settings.readNodeSettings
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.nio.file.Path
import java.util.concurrent.Callable

/** Checks settings, key and publication files without calling an instance. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description = ["Checks settings, key and publication files and reports all faults."],
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = ["0:no fault", "2:faults found"],
)
class CheckCommand : Callable<Int> {
    @Parameters(arity = "1..*", paramLabel = "FILE", description = ["Files to check; their kind is detected from the content."])
    lateinit var paths: List<Path>

    @Option(names = ["--json"], description = ["Print the faults as JSON."])
    var isJson: Boolean = false

    @Serializable
    private data class FoundFault(val file: String, val field: String, val value: String, val expected: String)

    override fun call(): Int {
        val faults = paths.flatMap { faultsOfFile(it) }
        if (isJson) {
            println(Json.encodeToString(faults.map { FoundFault(it.file, it.field, it.value, it.expected) }))
        } else {
            faults.forEach { println(it) }
            if (faults.isEmpty()) println("${paths.size} files without faults")
        }
        return if (faults.isEmpty()) ExitCodes.OK else ExitCodes.INVALID
    }

    private fun faultsOfFile(path: Path): List<SettingsFault> {
        val fields = readJsonFile(path, JsonObject.serializer()).getOrElse { return it }.keys
        return when {
            "changes" in fields -> publicationFaults(path)
            "keys" in fields -> readKeyFile(path).fold({ emptyList() }, { it })
            else -> readNodeSettings(path).fold({ emptyList() }, { it })
        }
    }

    private fun publicationFaults(path: Path): List<SettingsFault> =
        faultsOf(readJsonFile(path, Publication.serializer()).getOrElse { return it })
            .map { SettingsFault(path.toString(), it.field, it.value, it.expected) }
}
