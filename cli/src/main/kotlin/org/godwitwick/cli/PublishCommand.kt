package org.godwitwick.cli

import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.json.Json
import org.godwitwick.core.config.Publication
import org.godwitwick.core.config.faultsOf
import org.godwitwick.node.settings.readJsonFile
import picocli.CommandLine.Command
import picocli.CommandLine.Parameters
import java.nio.file.Path

/** Publishes a file with a publication. */
@Command(
    name = "publish",
    mixinStandardHelpOptions = true,
    description = ["Publishes a change of defaults or exceptions. Repeating the same file is safe."],
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = ["0:accepted", "1:not appended", "2:not valid", "3:conflict, nothing took effect", "4:outcome not known"],
)
class PublishCommand : AdminCommand() {
    @Parameters(index = "0", paramLabel = "PUBLICATION", description = ["Publication, JSON with comments."])
    lateinit var path: Path

    override fun call(): Int {
        val publication = readJsonFile(path, Publication.serializer()).getOrElse { return invalid(it) }
        val faults = faultsOf(publication)
        if (faults.isNotEmpty()) return invalid(faults.map { "$path: $it" })
        return reported {
            val answer = post("/admin/v1/publications", Json.encodeToString(Publication.serializer(), publication))
            if (answer.status != STATUS_OK) return@reported failed(answer)
            println(if (options.isJson) answer.body else AdminText.published(answer.body))
            ExitCodes.OK
        }
    }

    private fun invalid(faults: List<Any>): Int {
        faults.forEach { System.err.println(it) }
        return ExitCodes.INVALID
    }

    private companion object {
        const val STATUS_OK = 200
    }
}
