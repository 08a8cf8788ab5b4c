package org.godwitwick.lab.forward

import org.godwitwick.core.forward.EngineProfile
import java.util.Random
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt

/**
 * One kind of request of a mix.
 *
 * @property perSecond arrivals per second when no phase changes the rate.
 * @property promptTokens mean prompt length; lengths are log-normal and [spread] is their standard deviation divided by the mean.
 * @property maxTokens maximum prompt length.
 * @property events mean number of events of an answer.
 * @property targetMs target time to the first event.
 * @property pauseTargetMs target for the longest time between two events.
 * @property onTimeCredit credit for an answer that meets both targets.
 * @property lateCredit credit for a complete answer that misses a target.
 * @property priority stated priority of the route, or null if none is stated.
 * @property deadlineMs time from the arrival after which the caller leaves in any case.
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
    val onTimeCredit: Double,
    val lateCredit: Double,
    val priority: Int? = null,
    val deadlineMs: Long = Long.MAX_VALUE / 2,
)

/** A period in which the arrival rates of [ForwardMix.kinds] are multiplied by [factors], in the same order. */
data class MixPhase(val fromS: Double, val toS: Double, val factors: List<Double>)

/** A request of a mix. [atMs] is its arrival in model time and [events] the number of events of its answer. */
data class MixArrival(val atMs: Double, val kind: MixKind, val promptTokens: Long, val events: Int)

/**
 * A load on a fleet of engines.
 *
 * @property instances number of entry instances that place the requests.
 * @property seconds duration of the arrivals in model time.
 */
data class ForwardMix(
    val engines: Int,
    val instances: Int,
    val speed: PassSpeed,
    val kinds: List<MixKind>,
    val phases: List<MixPhase>,
    val seconds: Double,
) {
    /** All arrivals for [seed], in order of time. */
    fun arrivals(seed: Long): List<MixArrival> = kinds.flatMapIndexed { i, kind ->
        val random = Random(seed * kinds.size + i)
        val maxFactor = phases.maxOfOrNull { it.factors[i] }?.coerceAtLeast(1.0) ?: 1.0
        buildList {
            var atS = 0.0
            while (true) {
                atS += -ln(1 - random.nextDouble()) / (kind.perSecond * maxFactor)
                if (atS >= seconds) break
                val factor = phases.lastOrNull { atS >= it.fromS && atS < it.toS }?.factors?.get(i) ?: 1.0
                if (random.nextDouble() * maxFactor >= factor) continue
                val tokens = logNormal(random, kind.promptTokens, kind.spread).coerceAtMost(kind.maxTokens)
                val events = logNormal(random, kind.events, EVENT_SPREAD).coerceIn(1.0, kind.events * MAX_EVENTS_FACTOR)
                add(MixArrival(atS * MS_PER_S, kind, tokens.toLong().coerceAtLeast(1), events.toInt()))
            }
        }
    }.sortedBy { it.atMs }

    companion object {
        private const val MS_PER_S = 1e3
        private const val EVENT_SPREAD = 0.6
        private const val MAX_EVENTS_FACTOR = 2.5

        private fun logNormal(random: Random, mean: Double, spread: Double): Double {
            val variance = ln(1 + spread * spread)
            return exp(ln(mean) - variance / 2 + sqrt(variance) * random.nextGaussian())
        }

        /** Returns the mix called [name], or null if there is none. */
        fun byName(name: String): ForwardMix? = when (name) {
            "large" -> large(LARGE_ENGINES)
            "large-small" -> large(SMALL_ENGINES)
            "kasher" -> kasher()
            "pindan" -> pindan()
            "pindan-busy" -> pindan(loadFactor = 1.27)
            "pindan-grown-small" -> pindanGrownSmall()
            "rbq" -> rbq(1.0, engines = 78, instances = 72)
            "rbq-small" -> rbq(SMALL_SHARE, engines = 18, instances = 18)
            "darivo-small" -> darivoSmall()
            else -> null
        }

        /** Names of the mixes. */
        val NAMES = listOf(
            "large",
            "large-small",
            "kasher",
            "pindan",
            "pindan-busy",
            "pindan-grown-small",
            "rbq",
            "rbq-small",
            "darivo-small",
        )

        private const val LARGE_ENGINES = 195
        private const val SMALL_ENGINES = 35

        private const val SECONDS = 34.0

        private val LONG_BURST = listOf(0.37, 1.3, 2.8)
        private val SHORT_BURST = listOf(2.5, 0.5, 0.05)

        /** Long prompts at almost three times their normal rate, then short prompts at 2.5 times, then long prompts again. */
        private val PHASES =
            listOf(MixPhase(1.9, 11.4, LONG_BURST), MixPhase(12.0, 21.5, SHORT_BURST), MixPhase(23.0, 32.5, LONG_BURST))

        /** Speed of the engines of Sfax Kasher Labs with [slots] slots and [stepsPerPass] tokens per event. */
        private fun kasherSpeed(slots: Int, stepsPerPass: Int): PassSpeed {
            val profile =
                EngineProfile(slots, kvCapacityTokens = 232_000, prefillTokensPerMs = 206.0, attentionMsPerMillionPairs = 0.138)
            return PassSpeed(profile, 1.02, 0.00226, 0.00431, chunkTokens = 2_048, stepsPerPass)
        }

        /** The large deployment of Sfax Kasher Labs, with [engines] of its 195 engines and arrival rates in proportion. */
        private fun large(engines: Int): ForwardMix {
            val share = engines.toDouble() / LARGE_ENGINES
            return ForwardMix(
                engines,
                instances = engines / 2,
                kasherSpeed(slots = 7, stepsPerPass = 68),
                listOf(
                    MixKind("short", 193 * share, 4_960.0, 0.9, 23_800.0, 22.6, 409, 250, 1.3, 0.33),
                    MixKind("medium", 15.3 * share, 45_000.0, 0.5, 110_000.0, 13.6, 1_514, 600, 2.9, 0.73),
                    MixKind("long", 7.28 * share, 190_000.0, 0.55, 600_000.0, 11.3, 3_024, 1_000, 18.0, 4.5),
                ),
                PHASES,
                SECONDS,
            )
        }

        /** The first deployment of Sfax Kasher Labs. */
        private fun kasher(): ForwardMix = ForwardMix(
            engines = 23,
            instances = 6,
            kasherSpeed(slots = 11, stepsPerPass = 43),
            listOf(
                MixKind("short", 34.2, 4_960.0, 0.9, 23_800.0, 32.0, 300, 250, 1.3, 0.33),
                MixKind("medium", 1.87, 45_000.0, 0.5, 110_000.0, 19.0, 1_500, 600, 3.9, 0.98),
                MixKind("long", 1.57, 133_000.0, 0.55, 600_000.0, 16.0, 2_500, 1_000, 15.0, 3.7),
            ),
            PHASES,
            SECONDS,
        )

        /** The first deployment of Pindan. */
        private fun pindan(loadFactor: Double = 1.0): ForwardMix {
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
                PassSpeed(profile, 0.925, 0.00483, 0.00254, chunkTokens = 2_048, stepsPerPass = 46),
                listOf(
                    MixKind("short", 27.7 * loadFactor, 4_960.0, 0.9, 23_800.0, 34.9, 300, 200, 1.3, 0.33),
                    MixKind("medium", 2.01 * loadFactor, 45_000.0, 0.5, 110_000.0, 20.9, 1_500, 500, 3.1, 0.79),
                    MixKind("long", 0.833 * loadFactor, 210_000.0, 0.55, 1_000_000.0, 17.4, 3_000, 800, 22.0, 5.4),
                ),
                PHASES,
                SECONDS,
            )
        }

        /** A quarter of the grown deployment of Pindan, where a usual long prompt fills most of an engine's KV cache. */
        private fun pindanGrownSmall(): ForwardMix {
            val profile =
                EngineProfile(
                    slots = 8,
                    kvCapacityTokens = 382_500,
                    prefillTokensPerMs = 256.0,
                    attentionMsPerMillionPairs = 0.0917,
                )
            return ForwardMix(
                engines = 15,
                instances = 22,
                PassSpeed(profile, 0.925, 0.00483, 0.00254, chunkTokens = 2_048, stepsPerPass = 52),
                listOf(
                    MixKind("short", 17.8, 4_960.0, 0.9, 23_800.0, 33.0, 309, 200, 1.4, 0.34),
                    MixKind("medium", 1.64, 45_000.0, 0.5, 110_000.0, 20.0, 1_514, 500, 2.6, 0.66),
                    MixKind("long", 0.485, 300_000.0, 0.55, 1_000_000.0, 16.0, 4_024, 800, 30.0, 7.5),
                ),
                PHASES,
                SECONDS,
            )
        }

        /** The two patterns of the bursts of both deployments in docs/competing-load.md, in turn. */
        private val COMPETING_PHASES = listOf(
            MixPhase(1.9, 11.4, listOf(2.4, 0.5, 0.05)),
            MixPhase(12.0, 21.5, listOf(0.35, 1.3, 2.9)),
            MixPhase(23.0, 32.5, listOf(2.4, 0.5, 0.05)),
            MixPhase(33.0, 42.5, listOf(0.35, 1.3, 2.9)),
        )
        private const val COMPETING_SECONDS = 44.0

        /** Fraction of the rates of the large deployments that the small ones have. */
        private const val SMALL_SHARE = 1 / 4.8

        /** The deployment of rbq, whose kinds have three ranks, with [share] of its arrival rates. */
        private fun rbq(share: Double, engines: Int, instances: Int): ForwardMix {
            val speed = kasherSpeed(slots = 8, stepsPerPass = 48)
            return ForwardMix(
                engines,
                instances,
                speed.copy(profile = speed.profile.copy(kvCapacityTokens = 197_200)),
                listOf(
                    MixKind("short", 68.2 * share, 4_960.0, 0.9, 23_800.0, 31.0, 259, 250, 1.8, 0.18, 0, 10_400),
                    MixKind("reviews", 8.05 * share, 45_000.0, 0.5, 110_000.0, 18.0, 1_514, 600, 2.4, 0.61, 1, 10_100),
                    MixKind("digests", 2.86 * share, 190_000.0, 0.55, 600_000.0, 15.0, 6_024, 1_000, 7.3, 2.8, 2, 15_100),
                ),
                COMPETING_PHASES,
                COMPETING_SECONDS,
            )
        }

        /** The small deployment of darivo, whose kinds have the same rank. */
        private fun darivoSmall(): ForwardMix = pindanGrownSmall().copy(
            engines = 15,
            instances = 19,
            kinds = listOf(
                MixKind("short", 47.2 * SMALL_SHARE, 4_960.0, 0.9, 23_800.0, 33.0, 309, 200, 1.4, 0.34, 1, 10_300),
                MixKind("briefs", 4.33 * SMALL_SHARE, 45_000.0, 0.5, 110_000.0, 20.0, 1_514, 500, 2.6, 0.66, 1, 10_100),
                MixKind("audits", 1.28 * SMALL_SHARE, 300_000.0, 0.55, 1_000_000.0, 16.0, 4_024, 800, 30.0, 7.5, 1, 15_100),
            ),
            phases = COMPETING_PHASES,
            seconds = COMPETING_SECONDS,
        )
    }
}
