package org.godwitwick.lab

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.nameWithoutExtension
import kotlin.io.path.readText

/** Guards against a fault matrix that cites tests that do not exist or has cells without an entry. */
class FaultMatrixTest {
    private val page = FaultMatrixPage(repositoryRoot().resolve("docs/fault-matrix.md").readText())

    @Test
    fun `every cell cites a test or a reason or is marked as not proved`() {
        expectThat(page.cells.size).isGreaterThan(0)
        val malformed = page.cells.filter { cell ->
            cell.entries.isEmpty() || cell.entries.any { it != NOT_PROVED && it !in page.tests && it !in page.reasons }
        }
        expectThat(malformed).isEmpty()
    }

    @Test
    fun `every cited test exists in the sources`() {
        val sources = testSources()
        val missing = page.tests.filterValues { test -> sources[test.className]?.contains("fun `${test.name}`") != true }
        expectThat(missing).isEmpty()
    }

    @Test
    fun `every listed test and reason is used by a cell`() {
        val used = page.cells.flatMap { it.entries }.toSet()
        expectThat((page.tests.keys + page.reasons) - used).isEmpty()
    }

    @Test
    fun `the list of unproved faults matches the cells marked as not proved`() {
        val open = page.cells.filter { NOT_PROVED in it.entries }.groupBy({ it.step }, { it.fault })
            .map { (step, faults) -> "$step: ${faults.joinToString(", ")}" }
        expectThat(page.notProved.sorted()).isEqualTo(open.sorted())
    }

    @Test
    fun `the table of the ends of answers has a row for each end that its test plays`() {
        val source = testSources().getValue("AnswerEndCell")
        val played = source.substringAfter("enum class AnswerEnd {").substringBefore(";\n").lines()
            .mapNotNull { END_LINE.matchEntire(it)?.groupValues?.get(1)?.lowercase()?.replace('_', ' ') }
        expectThat(played.size).isGreaterThan(0)
        expectThat(page.ends).isEqualTo(played)
    }

    private fun testSources(): Map<String, String> = Files.walk(repositoryRoot()).use { paths ->
        paths.filter { it.extension == "kt" && it.toString().contains("src/test/kotlin") }
            .toList()
            .associate { it.nameWithoutExtension to it.readText() }
    }

    private companion object {
        const val NOT_PROVED = "?"
        val END_LINE = Regex(" {4}([A-Z_]+),")

        fun repositoryRoot(): Path = generateSequence(Path.of("").toAbsolutePath()) { it.parent }
            .first { Files.exists(it.resolve("docs/design.md")) }
    }
}

/** A cell of the matrix: the tests, reasons or mark for one [fault] at one [step]. */
private data class MatrixCell(val step: String, val fault: String, val entries: List<String>)

/** A test that cells cite by a short key. */
private data class CitedTest(val className: String, val name: String)

/** The parsed page `docs/fault-matrix.md`. */
private class FaultMatrixPage(text: String) {
    private val lines = text.lines()

    val tests: Map<String, CitedTest> = section("Tests").mapNotNull { TEST_LINE.matchEntire(it) }
        .associate { it.groupValues[1] to CitedTest(it.groupValues[2], it.groupValues[3]) }

    val reasons: Set<String> = section("Cells that can't occur").mapNotNull { REASON_LINE.find(it)?.groupValues?.get(1) }.toSet()

    val notProved: List<String> = section("Not proved").filter { it.startsWith("- ") }.map { it.removePrefix("- ") }

    val cells: List<MatrixCell> = section("Matrix").filter { it.startsWith("|") }.let { rows ->
        val faults = columns(rows.first()).drop(1)
        rows.drop(2).flatMap { row ->
            val values = columns(row)
            faults.mapIndexed { i, fault ->
                MatrixCell(values[0], fault, values.getOrElse(i + 1) { "" }.split(" ").filter(String::isNotEmpty))
            }
        }
    }

    val ends: List<String> = section("Ends of answers").filter { it.startsWith("|") }.drop(2).map { columns(it).first() }

    private fun section(title: String): List<String> =
        lines.dropWhile { it != "## $title" }.drop(1).takeWhile { !it.startsWith("## ") }

    private fun columns(row: String): List<String> = row.trim().trim('|').split("|").map { it.trim() }

    private companion object {
        val TEST_LINE = Regex("- (\\w+): `(\\w+)` `(.+)`")
        val REASON_LINE = Regex("- (\\w+): \\S")
    }
}
