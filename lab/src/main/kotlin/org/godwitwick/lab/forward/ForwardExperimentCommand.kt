package org.godwitwick.lab.forward

import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.util.concurrent.Callable
import kotlin.math.roundToInt

/** Simulates bursts of short and long prompts on modelled engines of the platform and prints the credit of each phase. */
@Command(
    name = "burst",
    mixinStandardHelpOptions = true,
    description = ["Places bursts of short and long prompts on modelled engines in model time."],
)
class ForwardExperimentCommand : Callable<Int> {
    @Option(names = ["--mixes"], split = ",", description = ["Loads to play. Default: \${DEFAULT-VALUE}"])
    var mixes: List<String> = ForwardMix.NAMES

    @Option(names = ["--seeds"], description = ["Number of seeds. Default: \${DEFAULT-VALUE}"])
    var seeds: Int = 3

    @Option(names = ["--variants"], split = ",", description = ["Names of variants; all when left out."])
    var names: List<String> = emptyList()

    override fun call(): Int {
        val unknown = mixes.firstOrNull { ForwardMix.byName(it) == null }
        if (unknown != null) {
            System.err.println("lab: unknown mix $unknown; known mixes: ${ForwardMix.NAMES.joinToString()}")
            return CommandLine.ExitCode.USAGE
        }
        println("| mix | variant | utilisation | prefilled | credit | long burst | short burst | long burst | kinds |")
        println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
        for (name in mixes) {
            val mix = checkNotNull(ForwardMix.byName(name))
            VARIANTS.filter { names.isEmpty() || it.name in names }.forEach { println("| $name | ${row(mix, it)} |") }
        }
        return CommandLine.ExitCode.OK
    }

    private fun row(mix: ForwardMix, variant: PlacementVariant): String {
        val models = (1L..seeds).map { ForwardFleetModel(mix, variant, it) }
        val requests = models.flatMap { it.run() }
        val phases = mix.phases.map { phase -> credit(requests.filter { it.arrivedMs / MS_PER_S in phase.fromS..phase.toS }) }
        val utilisation = percent(models.map { it.utilisation() }.average())
        val prefilled = percent(models.map { it.prefillOverhead() }.average())
        return (
            listOf(
                variant.name,
                utilisation,
                prefilled,
                credit(requests),
            ) + phases + kinds(mix, requests)
            ).joinToString(" | ")
    }

    private fun kinds(mix: ForwardMix, requests: List<ModelRequest>) = mix.kinds.joinToString("; ") { kind ->
        val ofKind = requests.filter { it.kind == kind }
        val first = ofKind.map { it.firstEventMs }.filterNot { it.isNaN() }.sorted()
        val gaps = ofKind.map { it.longestPauseMs }.sorted()
        val onTime = percent(ofKind.count { it.isOnTime }.toDouble() / ofKind.size)
        "${kind.name} ${credit(
            ofKind,
        )}, on time $onTime, first ${quantile(
            first,
            0.5,
        )}/${quantile(first, 0.99)} ms, pause ${quantile(gaps, 0.5)}/${quantile(gaps, 0.99)} ms"
    }

    private fun quantile(sorted: List<Double>, share: Double) = sorted.getOrNull((sorted.size * share).toInt())?.roundToInt()

    private fun credit(requests: List<ModelRequest>): String =
        percent(requests.sumOf { it.earnedCredit } / requests.sumOf { it.kind.onTimeCredit * it.weight })

    private fun percent(share: Double) = "%.3f".format(share)

    private companion object {
        const val MS_PER_S = 1e3
        val VARIANTS = listOf(
            PlacementVariant.CURRENT,
            PlacementVariant.SILENCE_IS_LOSS,
            PlacementVariant.NO_WAIT,
            PlacementVariant.MORE_SHARED,
            PlacementVariant.PREVIOUS,
        ) + PlacementVariant.RANK_STEPS
    }
}
