package org.godwitwick.node

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import org.godwitwick.core.config.ConfigField
import org.godwitwick.core.config.FieldType
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.node.metrics.NodeMetrics
import org.godwitwick.node.settings.NodeSettings
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotBlank
import java.nio.file.Path
import kotlin.io.path.readLines
import kotlin.io.path.readText

/** Guards against operator documentation that differs from the code. A failure prints the rows that a page lacks. */
class OperatorDocsTest {
    private val directory = Path.of("../docs/operators")

    @Test
    fun `the errors page lists every error kind with status, execution and retry delay`() {
        val expected = ErrorKind.entries.map {
            "| `${it.code}` | ${it.httpStatus} | ${it.defaultRan.name.lowercase()} | ${it.defaultRetryAfterMs ?: "none"} |"
        }
        val page = directory.resolve("errors.md").readLines()
        expectThat(expected.filter { row -> page.none { it.startsWith(row) } }).isEmpty()
        expectThat(page.count { it.startsWith("| `") }).isEqualTo(expected.size)
    }

    @Test
    fun `the settings page lists every configuration field with unit, default, range and scopes`() {
        val expected = ConfigField.entries.map { field ->
            val scopes = field.scopes.joinToString(", ") { "`${it.prefix}`" }.ifEmpty { "fleet only" }
            "| `${field.fieldName}` | ${field.unit} | ${field.defaultValue} | ${rangeOf(field.type)} | $scopes |"
        }
        val page = directory.resolve("settings.md").readLines()
        expectThat(expected.filterNot { it in page }).isEmpty()
    }

    @Test
    fun `the settings page lists every instance setting with its default and without blank cells`() {
        val required = """
            {"instanceId":"i","region":"r","dataCentre":"d","httpPort":1,"keysFile":"k","logUrl":"l","instanceListUrl":"u"}
        """
        val requiredNames = Json.parseToJsonElement(required).jsonObject.keys
        val all = Json {
            encodeDefaults = true
        }.encodeToJsonElement(NodeSettings.serializer(), Json.decodeFromString(required)).jsonObject
        val rows = directory.resolve("settings.md").readLines().map { line -> line.split('|').map { it.trim() } }
        val documented = rows.filter { it.size == SETTING_CELLS }.associateBy { it[1].trim('`') }
        all.forEach { (name, value) ->
            val default = when {
                name in requiredNames -> "required"
                value is JsonNull -> "none"
                else -> (value as JsonPrimitive).content
            }
            expectThat(name to documented[name]?.get(DEFAULT_CELL)).isEqualTo(name to default)
            expectThat(documented.getValue(name).subList(1, SETTING_CELLS - 1)).all { isNotBlank() }
        }
    }

    @Test
    fun `the page on running an instance names every metric`() {
        val metrics = NodeMetrics().render().lines().filter { it.startsWith("# TYPE ") }.map { it.split(' ')[2] }
        val page = directory.resolve("running.md").readText()
        expectThat(metrics.filterNot { "`$it`" in page }).isEmpty()
    }

    private fun rangeOf(type: FieldType): String = when (type) {
        is FieldType.Integer -> "${type.min} to ${type.max}"
        is FieldType.Fraction -> "${type.min} to ${type.max}"
        FieldType.Routes -> "list of routes"
    }

    private companion object {
        // Name, unit, default, range and meaning, with an empty cell at both ends.
        const val SETTING_CELLS = 7
        const val DEFAULT_CELL = 3
    }
}
