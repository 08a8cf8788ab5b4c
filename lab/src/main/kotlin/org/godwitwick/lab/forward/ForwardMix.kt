package org.godwitwick.lab.forward

import org.godwitwick.core.forward.EngineProfile
import java.util.Random
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt

/**
 * One kind of request of a mix.
 *
 * @property perSecond arrivals a second at the usual load.
 * @property promptTokens mean length of a prompt; lengths are log-normal with [spread] as the standard deviation over the mean.
 * @property worth value of an answer in time, and [lateWorth] of a late one.
 */
data class MixKind(
    val name: String,
    val perSecond: Double,
    val promptTokens: Double,
    val spread: Double,
    val maxTokens: Double,
    val events: Double,
    val targetMs: Long,
    val pauseTargetMs: Long,
    val worth: Double,
    val lateWorth: Double,
)

/** A time in which the rate of each kind is multiplied, in the order of the mix. */
data class MixPhase(val fromS: Double, val toS: Double, val factors: List<Double>)

/** An arrival in model milliseconds. */
data class MixArrival(val atMs: Double, val kind: MixKind, val promptTokens: Long, val events: Int)

/**
 * A load on a fleet of engines.
 *
 * @property instances entry instances that place it.
 */
data class ForwardMix(
    val engines: Int,
    val instances: Int,
    val speed: PassSpeed,
    val kinds: List<MixKind>,
    val phases: List<MixPhase>,
    val seconds: Double,
) {
    /** The arrivals of one seed. */
    fun arrivals(seed: Long): List<MixArrival> = kinds.flatMapIndexed { i, kind ->
        val random = Random(seed * kinds.size + i)
        val most = phases.maxOfOrNull { it.factors[i] }?.coerceAtLeast(1.0) ?: 1.0
        buildList {
            var atS = 0.0
            while (true) {
                atS += -ln(1 - random.nextDouble()) / (kind.perSecond * most)
                if (atS >= seconds) break
                val factor = phases.lastOrNull { atS >= it.fromS && atS < it.toS }?.factors?.get(i) ?: 1.0
                if (random.nextDouble() * most >= factor) continue
                val tokens = logNormal(random, kind.promptTokens, kind.spread).coerceAtMost(kind.maxTokens)
                val events = logNormal(random, kind.events, EVENT_SPREAD).coerceIn(1.0, kind.events * MOST_EVENTS)
                add(MixArrival(atS * MS_PER_S, kind, tokens.toLong().coerceAtLeast(1), events.toInt()))
            }
        }
    }.sortedBy { it.atMs }

    companion object {
        private const val MS_PER_S = 1e3
        private const val EVENT_SPREAD = 0.6
        private const val MOST_EVENTS = 2.5

        private fun logNormal(random: Random, mean: Double, spread: Double): Double {
            val variance = ln(1 + spread * spread)
            return exp(ln(mean) - variance / 2 + sqrt(variance) * random.nextGaussian())
        }

        /** The mix called [name], or null. */
        fun named(name: String): ForwardMix? = when (name) {
            "large" -> large(LARGE_ENGINES)
            "large-small" -> large(SMALL_ENGINES)
            "kasher" -> kasher()
            "pindan" -> pindan()
            else -> null
        }

        /** Names of the mixes. */
        val NAMES = listOf("large", "large-small", "kasher", "pindan")

        private const val LARGE_ENGINES = 195
        private const val SMALL_ENGINES = 35

        private const val SECONDS = 34.0

        private val LONG_BURST = listOf(0.37, 1.3, 2.8)
        private val SHORT_BURST = listOf(2.5, 0.5, 0.05)

        /** Long prompts come at almost three times their usual rate, then short ones, then long ones again. */
        private val PHASES =
            listOf(MixPhase(1.9, 11.4, LONG_BURST), MixPhase(12.0, 21.5, SHORT_BURST), MixPhase(23.0, 32.5, LONG_BURST))

        /** The speed of Sfax Kasher Labs' engines with [slots], whose events hold [stride] tokens. */
        private fun kasherSpeed(slots: Int, stride: Int): PassSpeed {
            val profile =
                EngineProfile(slots, kvCapacityTokens = 232_000, prefillTokensPerMs = 206.0, attentionMsPerMillionPairs = 0.138)
            return PassSpeed(profile, 1.02, 0.00226, 0.00431, chunkTokens = 2_048, stride)
        }

        /** Sfax Kasher Labs' hundreds of instances, with [engines] of its 195 engines and the rates that go with them. */
        private fun large(engines: Int): ForwardMix {
            val share = engines.toDouble() / LARGE_ENGINES
            return ForwardMix(
                engines,
                instances = engines / 2,
                kasherSpeed(slots = 7, stride = 68),
                listOf(
                    MixKind("short", 193 * share, 4_960.0, 0.9, 23_800.0, 22.6, 409, 250, 1.3, 0.33),
                    MixKind("medium", 15.3 * share, 45_000.0, 0.5, 110_000.0, 13.6, 1_514, 600, 2.9, 0.73),
                    MixKind("long", 7.28 * share, 190_000.0, 0.55, 600_000.0, 11.3, 3_024, 1_000, 18.0, 4.5),
                ),
                PHASES,
                SECONDS,
            )
        }

        /** Sfax Kasher Labs' first deployment. */
        private fun kasher(): ForwardMix = ForwardMix(
            engines = 23,
            instances = 6,
            kasherSpeed(slots = 11, stride = 43),
            listOf(
                MixKind("short", 34.2, 4_960.0, 0.9, 23_800.0, 32.0, 300, 250, 1.3, 0.33),
                MixKind("medium", 1.87, 45_000.0, 0.5, 110_000.0, 19.0, 1_500, 600, 3.9, 0.98),
                MixKind("long", 1.57, 133_000.0, 0.55, 600_000.0, 16.0, 2_500, 1_000, 15.0, 3.7),
            ),
            PHASES,
            SECONDS,
        )

        /** Pindan's first deployment. */
        private fun pindan(): ForwardMix {
            val profile =
                EngineProfile(
                    slots = 11,
                    kvCapacityTokens = 450_000,
                    prefillTokensPerMs = 256.0,
                    attentionMsPerMillionPairs = 0.0917,
                )
            return ForwardMix(
                engines = 18,
                instances = 9,
                PassSpeed(profile, 0.925, 0.00483, 0.00254, chunkTokens = 2_048, stride = 46),
                listOf(
                    MixKind("short", 27.7, 4_960.0, 0.9, 23_800.0, 34.9, 300, 200, 1.3, 0.33),
                    MixKind("medium", 2.01, 45_000.0, 0.5, 110_000.0, 20.9, 1_500, 500, 3.1, 0.79),
                    MixKind("long", 0.833, 210_000.0, 0.55, 1_000_000.0, 17.4, 3_000, 800, 22.0, 5.4),
                ),
                PHASES,
                SECONDS,
            )
        }
    }
}
