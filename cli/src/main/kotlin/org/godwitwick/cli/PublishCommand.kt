package org.godwitwick.cli

import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.json.Json
import org.godwitwick.core.config.Publication
import org.godwitwick.core.config.faultsOf
import org.godwitwick.node.settings.readJsonFile
import picocli.CommandLine.Command
import picocli.CommandLine.Parameters
import java.nio.file.Path

/** Publishes the changes in a publication file after checking it locally. */
@Command(
    name = "publish",
    mixinStandardHelpOptions = true,
    description = ["Publishes changes of defaults or exceptions. Publishing the same file again is safe."],
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = ["0:accepted", "1:not appended", "2:invalid file", "3:conflict, nothing took effect", "4:outcome unknown"],
)
class PublishCommand : AdminCommand() {
    @Parameters(index = "0", paramLabel = "PUBLICATION", description = ["Publication file, JSON with comments."])
    lateinit var path: Path

    override fun call(): Int {
        val publication = readJsonFile(path, Publication.serializer()).getOrElse { return reportFaults(it) }
        val faults = faultsOf(publication)
        if (faults.isNotEmpty()) return reportFaults(faults.map { "$path: $it" })
        return reportingErrors {
            val answer = post("/admin/v1/publications", Json.encodeToString(Publication.serializer(), publication))
            if (answer.status != STATUS_OK) return@reportingErrors reportRefusal(answer)
            println(if (options.isJson) answer.body else AdminText.published(answer.body))
            ExitCodes.OK
        }
    }

    private fun reportFaults(faults: List<Any>): Int {
        faults.forEach { System.err.println(it) }
        return ExitCodes.INVALID
    }

    private companion object {
        const val STATUS_OK = 200
    }
}
