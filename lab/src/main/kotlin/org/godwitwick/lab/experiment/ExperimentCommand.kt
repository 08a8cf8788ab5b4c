package org.godwitwick.lab.experiment

import kotlinx.serialization.json.Json
import org.godwitwick.core.model.PromptClass
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.io.path.writeText

/** Compares placement policies on a modelled fleet that runs the decision code of the product in model time. */
@Command(
    name = "experiment",
    mixinStandardHelpOptions = true,
    description = ["Compares placement policies on modelled engines in model time."],
)
class ExperimentCommand : Callable<Int> {
    @Option(names = ["--replicas-each"], split = ",", description = ["Replicas in each of 3 data centres, one or more sizes."])
    var replicasEach: List<Int> = listOf(7, 42)

    @Option(names = ["--seeds"], description = ["Number of seeds."])
    var seeds: Int = 5

    @Option(names = ["--load"], description = ["Offered engine time as a fraction of capacity, before cache hits."])
    var load: Double = 0.8

    @Option(names = ["--seconds"], description = ["Model seconds of arrivals, warm-up included."])
    var seconds: Int = 600

    @Option(names = ["--warm-up-seconds"], description = ["Arrivals of the first seconds are not measured."])
    var warmUpSeconds: Int = 120

    @Option(names = ["--fault"], description = ["\${COMPLETION-CANDIDATES}"])
    var fault: ModelFault = ModelFault.NONE

    @Option(names = ["--variants"], split = ",", description = ["\${COMPLETION-CANDIDATES}"])
    var variants: List<Variant> = Variant.entries

    @Option(names = ["--threads"], description = ["Runs at a time; the result does not depend on it."])
    var threads: Int = 3

    @Option(names = ["--json"], description = ["File for all outcomes."])
    var json: Path? = null

    override fun call(): Int {
        val executor = Executors.newFixedThreadPool(threads)
        val outcomes = try {
            replicasEach.flatMap { each -> (1L..seeds).map { seed -> executor.submit(Callable { runSeed(each, seed) }) } }
                .flatMap { it.get() }
        } finally {
            executor.shutdown()
        }
        println(ExperimentTable.of(outcomes.sortedBy { it.replicas }))
        json?.writeText(Json { prettyPrint = true }.encodeToString(outcomes))
        return 0
    }

    private fun runSeed(each: Int, seed: Long): List<Outcome> {
        val size = FleetSize(DATA_CENTRES, each, if (each < LARGE_DATA_CENTRE_REPLICAS) ENTRIES_SMALL else ENTRIES_LARGE)
        val durationMs = seconds * 1_000.0
        val fromMs = warmUpSeconds * 1_000.0
        val arrivals = Workload(seed, size.replicas, load, durationMs).arrivals()
        val short = arrivals.filter { it.promptClass == PromptClass.SHORT }
        return variants.map { variant ->
            // Baseline: the same policy with the short requests only. The ratio to it shows the effect of the longer requests.
            val alone = FleetModel(size, variant, short, durationMs, ModelFault.NONE, seed).run()
            val aloneP95Ms = Percentiles.of(
                alone.filter { it.arrival.atMs >= fromMs }.map { it.ttftMs }.filter { !it.isNaN() },
            ).p95Ms
            val fleet = FleetModel(size, variant, arrivals, durationMs, fault, seed)
            val jobs = fleet.run()
            Outcome.of(RunKey(variant, size.replicas, seed), jobs, fromMs, durationMs, fleet.busyFraction(durationMs), aloneP95Ms)
        }
    }

    private companion object {
        const val DATA_CENTRES = 3
        const val LARGE_DATA_CENTRE_REPLICAS = 20
        const val ENTRIES_SMALL = 3
        const val ENTRIES_LARGE = 6
    }
}
