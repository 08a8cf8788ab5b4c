package org.godwitwick.lab.mixed

import java.nio.file.Files
import java.nio.file.Path

/** Texts of the results of runs. */
object MixedReport {
    private const val MAX_LISTED = 20

    /** The rows of a table in Markdown, with its head. */
    fun table(commit: String, size: Int, results: List<RunResult>): String {
        val head = listOf("commit", "seed", "instances", "replaced", "killed", "requests", "served", "503", "no whole answer") +
            listOf("relayed", "crashes", "s", "broken promises")
        val rows = results.map { run ->
            listOf(commit, run.seed, size, run.replacements, run.kills, run.attempts, run.served, run.refused) +
                listOf(run.unanswered, run.relayed, run.crashes, run.seconds, summary(run.breaches))
        }
        return (listOf(head, head.map { "---" }) + rows).joinToString("\n") { it.joinToString(" | ", "| ", " |") }
    }

    /** The number of broken promises of each kind. */
    fun summary(breaches: List<Breach>): String = breaches.groupingBy {
        it.promise.column
    }.eachCount().entries.joinToString(", ") { "${it.key} ${it.value}" }.ifEmpty { "none" }

    /** Writes the events and the broken promises of a run to [folder]. */
    fun writeRun(folder: Path, seen: Observations, result: RunResult) {
        val breaches = result.breaches.groupBy { it.promise }
            .flatMap { (promise, all) -> all.take(MAX_LISTED).map { "${promise.column}: ${it.detail}" } }
        val statuses = seen.attempts.groupingBy { "${it.instance} ${it.kind} ${it.answer.status}" }.eachCount().toSortedMap()
        val lines =
            listOf("broken promises: ${summary(result.breaches)}") + breaches + "" + "events:" + seen.events.map { "$it" } +
                "" + "answers:" + statuses.map { "${it.key}: ${it.value}" }
        Files.write(folder.resolve("run.txt"), lines)
    }
}
