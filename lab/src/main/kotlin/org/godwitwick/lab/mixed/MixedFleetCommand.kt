package org.godwitwick.lab.mixed

import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable

/** Upgrades a small fleet of processes from an earlier commit to the current build and back, and checks what callers see. */
@Command(
    name = "mixed",
    mixinStandardHelpOptions = true,
    description = [
        "Replaces the instances of a small fleet of an earlier commit by the current build and back, under load.",
        "The current build must be packaged: mvn -pl platform -am package.",
    ],
)
class MixedFleetCommand : Callable<Int> {
    @Parameters(index = "0", paramLabel = "COMMIT", description = ["The earlier version, from the history of this repository."])
    lateinit var commit: String

    @Option(names = ["--seed"], defaultValue = "1", description = ["First seed (\${DEFAULT-VALUE})."])
    var seed = 1L

    @Option(names = ["--runs"], defaultValue = "1", description = ["Number of seeds (\${DEFAULT-VALUE})."])
    var runs = 1

    @Option(names = ["--size"], defaultValue = "3", description = ["Number of instances, 2 to 6 (\${DEFAULT-VALUE})."])
    var size = 3

    @Option(names = ["--pace-ms"], defaultValue = "3000", description = ["Time between two replacements (\${DEFAULT-VALUE})."])
    var paceMs = 3_000L

    @Option(
        names = ["--max-seconds"],
        defaultValue = "1800",
        description = ["No run begins after this time (\${DEFAULT-VALUE})."],
    )
    var maxSeconds = 1_800L

    @Option(names = ["--repository"], defaultValue = ".", description = ["Root of the repository."])
    lateinit var repository: Path

    @Option(names = ["--builds"], description = ["Folder of builds that are kept; by default, the build is deleted."])
    var builds: Path? = null

    @Option(names = ["--out"], defaultValue = "target/mixed", description = ["Folder of the reports (\${DEFAULT-VALUE})."])
    lateinit var out: Path

    override fun call(): Int {
        require(size in SIZES) { "--size must be in $SIZES" }
        val temporary = if (builds == null) Files.createTempDirectory("godwitwick-builds-") else null
        try {
            return when (val outcome = CommitBuilder(repository, builds ?: temporary!!).build(commit)) {
                is BuildOutcome.NoHistory -> println("skipped: ${outcome.reason}").let { 0 }
                is BuildOutcome.Failed -> System.err.println("the build of $commit failed: ${outcome.reason}").let { 1 }
                is BuildOutcome.Built -> playAll(outcome.build)
            }
        } finally {
            temporary?.toFile()?.deleteRecursively()
        }
    }

    private fun playAll(earlier: InstanceBuild): Int {
        val current = InstanceBuild.packaged("current", repository)
        val endNanos = System.nanoTime() + maxSeconds * NANOS_PER_SECOND
        val results = ArrayList<RunResult>()
        var unfinished = 0
        for (next in seed until seed + runs) {
            if (System.nanoTime() > endNanos) break
            val folder = out.resolve("$commit-$next").toAbsolutePath()
            try {
                results += MixedRun(earlier, current, size, paceMs, next, folder).play()
                println(MixedReport.table(commit, size, results.takeLast(1)).lines().last())
            } catch (e: IllegalStateException) {
                System.err.println("seed $next was not finished: ${e.message}; logs: $folder")
                unfinished++
            }
        }
        val table = MixedReport.table(commit, size, results)
        println(table)
        Files.writeString(out.resolve("$commit-$seed.md"), table + "\n")
        return if (unfinished == 0 && results.all { it.breaches.isEmpty() }) 0 else 1
    }

    private companion object {
        val SIZES = 2..6
        const val NANOS_PER_SECOND = 1_000_000_000L
    }
}
