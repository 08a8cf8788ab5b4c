package org.godwitwick.lab.experiment

import org.godwitwick.core.model.PromptClass
import java.util.Locale

/** Formats outcomes as a Markdown table. Each cell has the mean over the seeds, then the lowest and highest in brackets. */
object ExperimentTable {
    private class Column(val title: String, val digits: Int, val value: (Outcome) -> Double)

    private val columns = listOf(
        Column("short p50 ms", 0) { it.ttft.getValue(PromptClass.SHORT).p50Ms },
        Column("short p95 ms", 0) { it.ttft.getValue(PromptClass.SHORT).p95Ms },
        Column("short p99 ms", 0) { it.ttft.getValue(PromptClass.SHORT).p99Ms },
        Column("short slowdown p95", 2) { it.shortSlowdownP95 },
        Column("medium p95 ms", 0) { it.ttft.getValue(PromptClass.MEDIUM).p95Ms },
        Column("long p95 s", 1) { it.ttft.getValue(PromptClass.LONG).p95Ms / 1_000 },
        Column("huge p95 s", 1) { it.ttft.getValue(PromptClass.HUGE).p95Ms / 1_000 },
        Column("work ktok/s", 1) { it.workTokensPerSecond / 1_000 },
        Column("utilisation", 2) { it.utilisation },
        Column("refused", 0) { it.refused.values.sum().toDouble() },
        Column("refused huge", 0) { it.refused.getValue(PromptClass.HUGE).toDouble() },
        Column("offered huge", 0) { it.offered.getValue(PromptClass.HUGE).toDouble() },
        Column("past deadline", 0) { it.pastDeadline.values.sum().toDouble() },
        Column("broken", 0) { it.broken.toDouble() },
        Column("fairness", 3) { it.fairness },
        Column("lowest served", 2) { it.lowestServedFraction },
    )

    /** Returns the table of [outcomes], with one row per fleet size and variant. */
    fun of(outcomes: List<Outcome>): String = buildString {
        appendLine("| replicas | policy | " + columns.joinToString(" | ") { it.title } + " |")
        appendLine("|---|---|" + columns.joinToString("") { "---|" })
        for ((key, group) in outcomes.groupBy { it.replicas to it.variant }) {
            appendLine("| ${key.first} | ${key.second} | " + columns.joinToString(" | ") { cell(it, group) } + " |")
        }
    }

    private fun cell(column: Column, group: List<Outcome>): String {
        val values = group.map(column.value)
        fun text(value: Double) = String.format(Locale.ROOT, "%.${column.digits}f", value)
        return "${text(values.average())} (${text(values.min())}–${text(values.max())})"
    }
}
