package org.godwitwick.node

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isNotEmpty
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.readText

/** Guards against log lines that cannot be filtered by component. Add new prefixes here and in docs/operators/running.md. */
class LogPrefixTest {
    private val upstreamPrefixes = listOf("engine", "group", "list", "log", "order", "place", "service", "upstream", "weights")
    private val forwardPrefixes =
        listOf("evacuation", "feed", "forward", "quarantine", "reach", "reserve", "start", "stop", "store")
    private val prefixes =
        "admin admit claim config control drain health http node peer".split(' ') + upstreamPrefixes + forwardPrefixes
    private val logCall = Regex("""\blog\.(?:trace|debug|info|warn|error)\(\s*"([a-z]+:)?""")

    @Test
    fun `every log line starts with the prefix of a component`() {
        val calls = sources().flatMap { file -> logCall.findAll(file.readText()).map { file.fileName to it.groupValues[1] } }
        expectThat(calls).isNotEmpty()
        expectThat(calls.filterNot { (_, prefix) -> prefix.removeSuffix(":") in prefixes }).isEmpty()
    }

    private fun sources(): List<Path> = Files.walk(Path.of("src/main/kotlin")).use { files ->
        files.filter { it.extension == "kt" }.toList()
    }
}
