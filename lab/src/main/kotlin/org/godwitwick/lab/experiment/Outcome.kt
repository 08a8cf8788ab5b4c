package org.godwitwick.lab.experiment

import kotlinx.serialization.Serializable
import org.godwitwick.core.model.PromptClass
import kotlin.math.ceil

/** Percentiles of a sample, in milliseconds of model time. */
@Serializable
data class Percentiles(val p50Ms: Double, val p95Ms: Double, val p99Ms: Double, val count: Int) {
    companion object {
        /** Returns the percentiles of [values], which are 0 if it is empty. */
        fun of(values: List<Double>): Percentiles {
            val sorted = values.sorted()
            fun at(share: Double) =
                if (sorted.isEmpty()) 0.0 else sorted[(ceil(share * sorted.size).toInt() - 1).coerceAtLeast(0)]
            return Percentiles(at(0.50), at(0.95), at(0.99), sorted.size)
        }
    }
}

/**
 * Result of one run, over the requests that arrived after the warm-up.
 *
 * @property shortSlowdownP95 p95 of the time to first token of short requests, divided by their p95 without longer requests.
 * @property workTokensPerSecond prompt and generated tokens of complete requests per second.
 * @property refused requests that were not dispatched, by class.
 * @property pastDeadline dispatched requests that had not ended by their deadline, by class.
 * @property broken requests that ended without an answer after a dispatch, other than by their deadline.
 * @property fairness Jain's fairness index of the fraction of offered work completed for each organisation; 1 if all are equal.
 * @property lowestServedFraction lowest of these fractions.
 */
@Serializable
data class Outcome(
    val variant: String,
    val replicas: Int,
    val seed: Long,
    val ttft: Map<PromptClass, Percentiles>,
    val shortSlowdownP95: Double,
    val workTokensPerSecond: Double,
    val utilisation: Double,
    val offered: Map<PromptClass, Int>,
    val refused: Map<PromptClass, Int>,
    val pastDeadline: Map<PromptClass, Int>,
    val broken: Int,
    val fairness: Double,
    val lowestServedFraction: Double,
) {
    companion object {
        /** Evaluates [jobs]. [aloneP95Ms] is the p95 of the same short requests on the same fleet without longer ones. */
        fun of(run: RunKey, jobs: List<Job>, fromMs: Double, toMs: Double, utilisation: Double, aloneP95Ms: Double): Outcome {
            val measured = jobs.filter { it.arrival.atMs >= fromMs }
            val byClass = PromptClass.entries.associateWith { c -> measured.filter { it.arrival.promptClass == c } }
            val ttft = byClass.mapValues { (_, ofClass) -> Percentiles.of(ofClass.map { it.ttftMs }.filter { !it.isNaN() }) }
            val done = measured.filter { it.end == JobEnd.COMPLETE }
            val served = measured.groupBy { it.arrival.organisation }.values.map { ofOne ->
                ofOne.filter { it.end == JobEnd.COMPLETE }.sumOf { it.kvTokens }.toDouble() / ofOne.sumOf { it.kvTokens }
            }
            return Outcome(
                run.variant.label,
                run.replicas,
                run.seed,
                ttft,
                ttft.getValue(PromptClass.SHORT).p95Ms / aloneP95Ms,
                done.sumOf { it.kvTokens } / (toMs - fromMs) * 1_000.0,
                utilisation,
                byClass.mapValues { it.value.size },
                byClass.mapValues { (_, ofClass) -> ofClass.count { it.dispatchedAtMs.isNaN() } },
                byClass.mapValues { (_, ofClass) ->
                    ofClass.count { !it.dispatchedAtMs.isNaN() && it.end == JobEnd.PAST_DEADLINE }
                },
                measured.count { it.end == JobEnd.BROKEN || (it.end == JobEnd.REFUSED && !it.dispatchedAtMs.isNaN()) },
                served.sum() * served.sum() / (served.size * served.sumOf { it * it }),
                served.min(),
            )
        }
    }
}

/** Identifies one run. */
data class RunKey(val variant: Variant, val replicas: Int, val seed: Long)
