package org.godwitwick.lab.starts

import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.util.concurrent.Callable

/** Measures the processor time that an instance uses until it serves, with the packaged jar and the command line of the deployment. */
@Command(
    name = "starts",
    description = ["Measure the processor time of a start by step; run the build of deploy/system.toml first."],
)
class StartsCommand : Callable<Int> {
    @Option(names = ["--runs"], description = ["Number of starts (default: \${DEFAULT-VALUE})."])
    private var runs = 9

    @Option(names = ["--threads"], description = ["Also print the processor time by thread name of the last start."])
    private var printsThreads = false

    @Option(
        names = ["--class-list"],
        description = ["Write the classes that an instance loads to this file, and measure nothing."],
    )
    private var classList: String? = null

    override fun call(): Int {
        classList?.let {
            MeasuredStart.run("-XX:DumpLoadedClassList=$it")
            return 0
        }
        val starts = List(runs) { MeasuredStart.run() }
        println("| step | processor ms, median | least | most |")
        println("| --- | --- | --- | --- |")
        StartStep.entries.forEach { step ->
            val values = starts.map { it.processorMs.getValue(step) }.sorted()
            println("| ${step.label} | %.0f | %.0f | %.0f |".format(values[runs / 2], values.first(), values.last()))
        }
        if (printsThreads) starts.last().threadMs.forEach { (name, ms) -> println("%-18s %.0f".format(name, ms)) }
        return 0
    }
}
