package org.godwitwick.lab.mixed

import org.godwitwick.lab.process.freePort
import org.godwitwick.standins.platform.FakePlatformStore
import org.godwitwick.standins.platform.InstancePorts
import org.godwitwick.standins.platform.platformConfig
import org.godwitwick.standins.platform.platformSettings
import java.nio.file.Files
import java.nio.file.Path
import kotlin.concurrent.thread
import kotlin.random.Random

/** Result of one run; [relayed] counts the requests served by the instance that reaches no upstream. */
data class RunResult(
    val seed: Long,
    val replacements: Int,
    val kills: Int,
    val attempts: Int,
    val served: Int,
    val refused: Int,
    val unanswered: Int,
    val relayed: Int,
    val crashes: Int,
    val seconds: Long,
    val breaches: List<Breach>,
)

/** The order in which the instances of a fleet get their versions. */
object ReplacementPlan {
    /** Number of instances, of [size], that begin with the earlier version. */
    fun earlierAtFirst(size: Int): Int = (size + 1) / 2

    /** Instances and whether each gets the earlier version: forward, in an order that follows from [random], and back. */
    fun of(size: Int, random: Random): List<Pair<Int, Boolean>> =
        (0 until earlierAtFirst(size)).shuffled(random).map { it to false } + (0 until size).shuffled(random).map { it to true }
}

/** Plays one upgrade and its rollback in a fleet of [size] instances, which follows from [seed] but for the timing of processes. */
class MixedRun(
    private val earlier: InstanceBuild,
    private val current: InstanceBuild,
    private val size: Int,
    private val paceMs: Long,
    private val seed: Long,
    private val folder: Path,
) {
    private val random = Random(seed)
    private val seen = Observations()
    private val beganNanos = System.nanoTime()
    private fun nowMs() = (System.nanoTime() - beganNanos) / NANOS_PER_MS

    /** Plays the run and checks what callers and upstreams have seen. */
    fun play(): RunResult {
        Files.createDirectories(folder)
        val plan = ReplacementPlan.of(size, random)
        val shortLived = plan.indices.map { "key-${it + 1}" }
        val keys = listOf(LASTING_KEY) + shortLived
        FakePlatformStore().use { store ->
            configure(store, version = 1, shortLived)
            MixedUpstreams(store, seed, seen, ::nowMs).use { upstreams ->
                repeat(DESKS) { upstreams.start(DESK) }
                repeat(ENGINES) { upstreams.start(MODEL) }
                MixedInstances(seen, ::nowMs).use { instances -> replaceAll(store, upstreams, instances, plan, keys) }
            }
        }
        return result(plan.size, keys.associateWith { if (it == LASTING_KEY) "caterer" else "kiosk" })
    }

    private fun replaceAll(
        store: FakePlatformStore,
        upstreams: MixedUpstreams,
        instances: MixedInstances,
        plan: List<Pair<Int, Boolean>>,
        keys: List<String>,
    ) {
        val fleet = startFleet(store, instances)
        val refusalStep = random.nextInt(plan.size)
        MixedCallers(instances, keys, seed, seen, ::nowMs).use { callers ->
            callers.start(CALLERS)
            Thread.sleep(paceMs)
            upstreams.limit(DESK, LIMIT_PER_SECOND)
            plan.forEachIndexed { step, (index, isEarlier) ->
                val disturbance = disturb(store, upstreams, keys.drop(1 + step), hasRefusals = step == refusalStep)
                instances.replace(fleet[index], if (isEarlier) earlier else current, GRACE_MS)
                disturbance.join()
                Thread.sleep(paceMs)
            }
            // The last key is watched for longer than its bound.
            Thread.sleep(REVOCATION_MS)
        }
    }

    private fun startFleet(store: FakePlatformStore, instances: MixedInstances): List<MixedInstance> {
        val closedPort = freePort()
        val withoutUpstreams = store.openView("keyed.servers") { it.replace(ADDRESS, "\"address\":\"127.0.0.1:$closedPort\"") }
        return (0 until size).map { index ->
            val address = if (index == cutOff) withoutUpstreams else store.address
            val ports = InstancePorts(freePort(), freePort(), freePort())
            val name = nameOf(index)
            val settings = platformSettings(address, REVOCATION_MS, GRACE_S, RETRY_RESERVE, name = name, ports = ports)
            MixedInstance(name, ports, folder, settings).also {
                instances.add(it, if (index < ReplacementPlan.earlierAtFirst(size)) earlier else current)
            }
        }
    }

    private val cutOff = random.nextInt(size)

    private fun nameOf(index: Int) = "entry-${index + 1}"

    // Revokes the first of [keys] and replaces an upstream of each service, each at a time of its own.
    private fun disturb(store: FakePlatformStore, upstreams: MixedUpstreams, keys: List<String>, hasRefusals: Boolean): Thread {
        val actions = listOf(
            { if (hasRefusals) upstreams.refusedPercent = REFUSED_PERCENT },
            { revoke(store, keys) },
            { upstreams.replace(DESK, LEAVING_MS + LINGER_MS, random) },
            { upstreams.replace(MODEL, LEAVING_MS + LINGER_MS, random) },
        ).shuffled(random).map { random.nextLong(MAX_DELAY_MS) to it }
        return thread(name = "disturbance") {
            actions.forEach { (delayMs, action) ->
                Thread.sleep(delayMs)
                action()
            }
            if (hasRefusals) Thread.sleep(REFUSALS_MS)
            upstreams.refusedPercent = MixedUpstreams.CALM_REFUSED_PERCENT
        }
    }

    private fun revoke(store: FakePlatformStore, keys: List<String>) {
        configure(store, version = 1 + seen.events.count { it is FleetEvent.KeyRevoked } + 1, keys.drop(1))
        seen.events += FleetEvent.KeyRevoked(nowMs(), keys.first())
    }

    private fun configure(store: FakePlatformStore, version: Int, shortLived: List<String>) = store.put(
        "keyed.op",
        "config",
        platformConfig(version, mapOf("caterer" to listOf(LASTING_KEY), "kiosk" to shortLived)),
    )

    private fun result(replacements: Int, organisations: Map<String, String>): RunResult {
        val breaches = PromiseCheck(seen, organisations, PromiseBounds(REVOCATION_MS, LEAVING_MS, RETRY_RESERVE)).breaches()
        val attempts = seen.attempts.toList()
        val served = attempts.filter { it.answer.status == OK && it.answer.isWhole }
        return RunResult(
            seed,
            replacements,
            kills = seen.events.count { it is FleetEvent.Stopped && it.wasKilled },
            attempts.size,
            served.size,
            refused = attempts.count { it.answer.status == UNAVAILABLE },
            unanswered = attempts.count { !it.answer.isWhole },
            relayed = served.count { it.instance == nameOf(cutOff) },
            crashes = seen.arrivals.count { it.handling == Handling.CRASHED },
            seconds = nowMs() / MS_PER_SECOND,
            breaches,
        ).also { MixedReport.writeRun(folder, seen, it) }
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
        const val MS_PER_SECOND = 1_000L
        const val LASTING_KEY = "key-0"
        const val DESK = "desk"
        const val MODEL = "model"
        const val DESKS = 5
        const val ENGINES = 3
        const val CALLERS = 6
        const val RETRY_RESERVE = 20

        /** Share of requests that upstreams refuse, and for how long, to exhaust the budget of retries. */
        const val REFUSED_PERCENT = 60
        const val REFUSALS_MS = 5_000L
        const val LIMIT_PER_SECOND = 2.0
        const val REVOCATION_MS = 5_000L
        const val LEAVING_MS = 2_000L

        /** Time for which an upstream still accepts requests after the bound, so that late ones are seen. */
        const val LINGER_MS = 2_000L
        const val GRACE_S = 8
        const val GRACE_MS = GRACE_S * MS_PER_SECOND
        const val MAX_DELAY_MS = 2_500L
        const val OK = 200
        const val UNAVAILABLE = 503
        val ADDRESS = Regex("\"address\":\"[^\"]*\"")
    }
}
