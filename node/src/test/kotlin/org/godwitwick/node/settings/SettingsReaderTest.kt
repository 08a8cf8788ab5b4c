package org.godwitwick.node.settings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.serialization.json.Json
import org.godwitwick.core.config.ConfigFold
import org.godwitwick.core.config.ConfigLogRecord
import org.godwitwick.core.config.ConfigPage
import org.godwitwick.core.config.ConfigRecord
import org.godwitwick.core.config.Publication
import org.godwitwick.core.config.PublicationOutcome
import org.godwitwick.core.config.encodeConfigRecord
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries

class SettingsReaderTest {
    @TempDir
    lateinit var directory: Path

    private fun file(text: String) = Files.writeString(directory.resolve("settings.json"), text)

    // Guards against reporting one fault per attempt, and against using the default of a field whose name is misspelt.
    @Test
    fun `unknown, missing, mistyped and out-of-range fields are reported together`() {
        val path = file(
            """{"instanceId":"a b","region":"r","httpPort":70000,"listPollMs":"500","cutOffGrace":1, // a comment
               "logUrl":"ftp://x","instanceListUrl":"http://user:hush@x","keysFile":"k"}""",
        )
        val faults = readNodeSettings(path).getError().orEmpty()
        expectThat(faults.map { it.field }).containsExactlyInAnyOrder(
            "dataCentre",
            "cutOffGrace",
            "listPollMs",
            "instanceId",
            "httpPort",
            "logUrl",
            "instanceListUrl",
        )
        expectThat(faults.first { it.field == "httpPort" }).isEqualTo(
            SettingsFault(path.toString(), "httpPort", "70000", "0 to 65535 (port number)"),
        )
        expectThat(faults.filter { "hush" in it.toString() }).isEmpty()
    }

    // Guards against a key or secret that is printed with a fault of its file.
    @Test
    fun `faults of key and secret files contain none of the content`() {
        val broken = listOf(
            """{"keys":[{"keySha256":"hush","operator":"x"}]}""",
            """{"keys":[{"keySha256":"hush","operator":1}], "hush":""",
            """{"keys":"hush"}""",
            """{"keys":[{"keySha256":["hush"],"operator":"x"}]}""",
        )
        broken.forEach { text ->
            val faults = readKeyFile(file(text)).getError().orEmpty()
            expectThat(faults.size > 0).isEqualTo(true)
            expectThat(faults.filter { "hush" in it.toString() }).isEmpty()
        }
        expectThat(readPeerSecret(file("hush")).getError().orEmpty().filter { "hush" in it.toString() }).isEmpty()
    }

    // Guards against examples that are refused, alone or when they are published one after the other.
    @Test
    fun `the examples of both deployments are valid and their publications are accepted in order`() {
        listOf("sfax-kasher-labs", "liit").map { Path.of("..", "examples", it) }.forEach { example ->
            val settings = example.resolve("settings").listDirectoryEntries("*.json")
            expectThat(settings).hasSize(18)
            val read = settings.map { path ->
                expectThat(readNodeSettings(path)).get { getError().orEmpty() }.isEmpty()
                checkNotNull(readNodeSettings(path).get()).also {
                    expectThat(readKeyFile(path.resolveSibling(it.keysFile)).get()).isNotNull()
                }
            }
            expectThat(read.map { it.instanceId }.toSet()).hasSize(18)
            expectThat(read.groupBy { it.dataCentre }.values.map { it.size }).isEqualTo(listOf(6, 6, 6))
            val records = example.resolve("publications").listDirectoryEntries("*.json").sorted().mapIndexed { i, path ->
                val publication = checkNotNull(readJsonFile(path, Publication.serializer()).get()) { "$path" }
                ConfigLogRecord(i.toLong(), 0, encodeConfigRecord(ConfigRecord.Published(publication)))
            }
            val state = ConfigFold().apply(ConfigPage(0, records.size.toLong(), records)).state
            expectThat(state.history.map { it.outcome }).isEqualTo(List(3) { PublicationOutcome.Accepted })
            expectThat(Json.encodeToString(state.toSnapshot()).length < 64 * 1024).isEqualTo(true)
        }
    }
}
