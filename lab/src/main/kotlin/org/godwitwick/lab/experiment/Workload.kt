package org.godwitwick.lab.experiment

import org.godwitwick.core.model.ClassBounds
import org.godwitwick.core.model.OrganisationId
import org.godwitwick.core.model.PromptClass
import org.godwitwick.core.placement.BLOCK_TOKENS
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

/** One request as its caller intends it. Latency is measured from [atMs], so it includes the time before dispatch. */
class Arrival(
    val atMs: Double,
    val organisation: OrganisationId,
    val promptTokens: Int,
    val outputTokens: Int,
    val blocks: LongArray,
    val timeoutMs: Long,
) {
    val promptClass: PromptClass = BOUNDS.classOf(promptTokens)

    private companion object {
        val BOUNDS = ClassBounds()
    }
}

/** Open-loop arrivals of a mix of prompt classes and organisations. The same seed gives the same requests to every policy. */
class Workload(private val seed: Long, private val replicas: Int, private val load: Double, private val durationMs: Double) {
    private val random = Random(seed)
    private val organisations = List(ORGANISATIONS) { OrganisationId("org-$it") }
    private val weights = List(ORGANISATIONS) {
        if (it < 2) {
            LARGE_WEIGHTS[it]
        } else {
            (1 - LARGE_WEIGHTS.sum()) / (ORGANISATIONS - 2)
        }
    }

    /** Returns all arrivals, in order of time. */
    fun arrivals(): List<Arrival> {
        val perMs = load * replicas / meanDemandMs()
        val result = ArrayList<Arrival>()
        var atMs = 0.0
        var factor = 1.0
        var epochEndMs = 0.0
        while (true) {
            if (atMs >= epochEndMs) {
                epochEndMs = atMs + EPOCH_MS
                factor = BURST_FACTORS[random.nextInt(BURST_FACTORS.size)]
            }
            atMs += -ln(1 - random.nextDouble()) / (perMs * factor)
            if (atMs >= durationMs) return result
            result += arrival(atMs)
        }
    }

    // Mean engine time of a request, estimated from a sample of the same mix without cache hits.
    private fun meanDemandMs(): Double {
        val sample = Workload(seed + 1, replicas, load, durationMs)
        return (1..SAMPLE_SIZE).sumOf { sample.arrival(it.toDouble()).let { one -> EngineSpeed().demandMs(one) } } / SAMPLE_SIZE
    }

    private fun arrival(atMs: Double): Arrival {
        val organisation = pickOrganisation()
        val roll = random.nextDouble()
        val tokens = when {
            roll < 0.70 -> logUniform(1_000.0, 4_000.0)
            roll < 0.92 -> logUniform(4_001.0, 32_000.0)
            roll < 0.98 -> logUniform(32_001.0, 100_000.0)
            else -> pareto(100_001.0, 1_000_000.0)
        }
        val timeoutMs = when {
            tokens <= 4_000 -> 30_000L
            tokens <= 32_000 -> 40_000L
            tokens <= 100_000 -> 120_000L
            else -> 300_000L
        }
        val out = (-ln(1 - random.nextDouble()) * MEAN_OUT_TOKENS).toInt().coerceIn(8, 512)
        return Arrival(atMs, organisations[organisation], tokens, out, blocks(organisation, tokens), timeoutMs)
    }

    private fun pickOrganisation(): Int {
        var left = random.nextDouble()
        return weights.indexOfFirst {
            left -= it
            left <= 0
        }.coerceAtLeast(0)
    }

    // Half of the prompts begin with one of a few templates of their organisation: instructions for short prompts, a document for
    // long ones.
    private fun blocks(organisation: Int, tokens: Int): LongArray {
        val count = tokens / BLOCK_TOKENS
        val isShared = random.nextDouble() < SHARED_REQUEST_FRACTION
        val template = organisation * 1_000L + random.nextInt(TEMPLATES) + if (tokens > 32_000) 500 else 0
        val sharedBlocks = if (isShared) (count * SHARED_PROMPT_FRACTION).toInt().coerceAtLeast(1) else 0
        val own = random.nextLong()
        return LongArray(count) { if (it < sharedBlocks) template * 100_003L + it else own + it * 31L }
    }

    private fun logUniform(low: Double, high: Double) = exp(ln(low) + random.nextDouble() * (ln(high) - ln(low))).toInt()

    private fun pareto(low: Double, high: Double): Int {
        val spread = 1 - (low / high).pow(PARETO_EXPONENT)
        return (low / (1 - random.nextDouble() * spread).pow(1 / PARETO_EXPONENT)).toInt()
    }

    private companion object {
        const val ORGANISATIONS = 10
        val LARGE_WEIGHTS = listOf(0.35, 0.2)
        const val EPOCH_MS = 5_000.0
        val BURST_FACTORS = listOf(0.6, 0.8, 1.0, 1.2, 1.4)
        const val SAMPLE_SIZE = 20_000
        const val MEAN_OUT_TOKENS = 100.0
        const val TEMPLATES = 6
        const val SHARED_REQUEST_FRACTION = 0.5
        const val SHARED_PROMPT_FRACTION = 0.6
        const val PARETO_EXPONENT = 1.2
    }
}
