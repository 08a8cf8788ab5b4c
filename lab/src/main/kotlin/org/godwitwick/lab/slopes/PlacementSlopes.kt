package org.godwitwick.lab.slopes

import com.sun.management.ThreadMXBean
import kotlinx.serialization.Serializable
import org.godwitwick.core.forward.CallerWait
import org.godwitwick.core.forward.EngineProfile
import org.godwitwick.core.forward.PauseTargets
import org.godwitwick.core.forward.PlacementRule
import org.godwitwick.core.forward.RequestSize
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.UpstreamList
import org.godwitwick.core.forward.UpstreamWork
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.forward.ForwardDemand
import org.godwitwick.node.forward.PeerLoads
import org.godwitwick.node.forward.UpstreamLoads
import org.godwitwick.node.forward.UpstreamStatements
import org.godwitwick.node.forward.WorkPlacer
import org.godwitwick.node.peer.ForwardLoad
import org.godwitwick.node.peer.LoadScope
import java.lang.management.ManagementFactory
import kotlin.math.roundToInt
import kotlin.random.Random

/**
 * Mean processor time and allocation of one placement on the forward path, by the length of the prompt.
 *
 * @property reportMicros time to take in one report of another data centre at a collector.
 * @property fleetReportMicros time to take in one total of the fleet at an instance that is no collector.
 * @property listMicros time to build the list of upstreams when a registration changes.
 */
@Serializable
data class PlacementSlope(
    val upstreams: Int,
    val micros: Map<Long, Double>,
    val allocatedBytes: Map<Long, Long>,
    val reportMicros: Double,
    val fleetReportMicros: Double,
    val listMicros: Double,
)

/**
 * Measures everything that the forward path does to place one request, at an instance that collects the reports of its data
 * centre and of [DATA_CENTRES] others: the selection of the upstreams that take requests, the sums over the reports, and the rule.
 */
internal class PlacementSlopes {
    private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean

    fun measure(upstreamCount: Int): PlacementSlope {
        val random = Random(1)
        val upstreams = List(upstreamCount) {
            UpstreamEntry(InstanceId("engine-$it"), "llm", "10.0.0.$it:80", "dc-${it % DATA_CENTRES}", 8, false, startedAtMs = 1)
        }
        val list = UpstreamList.of(upstreams)
        val loads = UpstreamLoads()
        val peerLoads = PeerLoads()
        val fleet = List(DATA_CENTRES * INSTANCES) { InstanceId("entry-$it") }
        val statements = UpstreamStatements(fleet.first(), { fleet }, { NOW_MS }, {})
        val placer = WorkPlacer(PlacementRule(random), loads, peerLoads, { fleet.size })
        val reports = upstreams.groupBy { it.dataCentre }.map { (dataCentre, entries) ->
            val work = entries.associate { ForwardLoad.keyOf(it.id) to workOf(random) }
            ForwardLoad.of(work, NOW_MS, INSTANCES, LoadScope.DATA_CENTRE, dataCentre)
        }
        reports.forEach { peerLoads.onReport(InstanceId("collector-${it.dataCentre}"), it, NOW_MS) }
        repeat(INSTANCES - 1) { i ->
            val work = upstreams.shuffled(random).take(rowsOfInstance(upstreamCount)).associate {
                ForwardLoad.keyOf(it.id) to
                    workOf(random)
            }
            peerLoads.onReport(InstanceId("entry-${i + 1}"), ForwardLoad.of(work, NOW_MS), NOW_MS)
        }
        val demands = PROMPTS.associate { (tokens, targetMs) -> tokens to demandOf(tokens, targetMs) }
        fun place(demand: ForwardDemand) {
            val open = statements.open(statements.present(list))
            placer.place(demand, PROFILE, if (demand.size?.isShort == true) open else statements.unlimited(open), NOW_MS)
        }
        val total = totalOf(upstreams, random)
        val receiver = PeerLoads().apply { onReport(InstanceId("collector"), total, NOW_MS) }
        receiver.at(NOW_MS).shortStreamsAt(list)
        val micros = demands.mapValues { (_, demand) -> averageMicros { place(demand) } }
        val allocated = demands.mapValues { (_, demand) -> allocatedBytes { place(demand) } }
        return PlacementSlope(
            upstreamCount,
            micros,
            allocated,
            averageMicros { peerLoads.onReport(InstanceId("collector"), reports[it % reports.size], NOW_MS) },
            averageMicros { receiver.onReport(InstanceId("collector"), total, NOW_MS) },
            averageMicros { UpstreamList.of(upstreams) },
        )
    }

    private fun totalOf(upstreams: List<UpstreamEntry>, random: Random) = ForwardLoad.of(
        upstreams.associate { ForwardLoad.keyOf(it.id) to workOf(random) },
        NOW_MS,
        DATA_CENTRES * INSTANCES - 1,
        LoadScope.FLEET,
    )

    // In proportion to the fleet, so that the work at an upstream does not depend on the size of the fleet.
    private fun rowsOfInstance(upstreamCount: Int) = (upstreamCount / LARGEST_FLEET * INSTANCE_ROWS).roundToInt().coerceAtLeast(1)

    private fun workOf(random: Random): UpstreamWork {
        val short = random.nextInt(4)
        return UpstreamWork(random.nextInt(100).toDouble(), short + random.nextInt(3), short, random.nextInt(3), 5_000L * short)
    }

    private fun demandOf(tokens: Long, targetMs: Long) = ForwardDemand(
        RequestSize(tokens, ANSWER_TOKENS),
        CallerWait(NOW_MS, targetMs, NOW_MS + DEADLINE_MS),
        isStreaming = true,
        PAUSES,
    )

    // Processor time, which other programs on the machine affect less. The number of calls depends on their duration, so that fast
    // calls are compiled and slow ones do not take minutes.
    private inline fun averageMicros(action: (Int) -> Unit): Double {
        var micros = 0.0
        for (budgetNs in listOf(WARM_UP_NS, MEASURED_NS)) {
            val startNs = threads.currentThreadCpuTime
            var calls = 0
            do {
                repeat(CALLS_PER_READING) { action(calls++) }
                val elapsedNs = threads.currentThreadCpuTime - startNs
                micros = elapsedNs / 1_000.0 / calls
            } while (elapsedNs < budgetNs)
        }
        return micros
    }

    private inline fun allocatedBytes(action: () -> Unit): Long {
        val before = threads.currentThreadAllocatedBytes
        repeat(ALLOCATION_CALLS) { action() }
        return (threads.currentThreadAllocatedBytes - before) / ALLOCATION_CALLS
    }

    private companion object {
        const val NOW_MS = 1_000L
        const val DATA_CENTRES = 36
        const val INSTANCES = 14

        const val LARGEST_FLEET = 12_000.0

        /** Upstreams at which one instance of the largest fleet has work: 12,000 / 520. */
        const val INSTANCE_ROWS = 23
        const val ANSWER_TOKENS = 900L
        const val DEADLINE_MS = 10_000L
        const val WARM_UP_NS = 400_000_000L
        const val MEASURED_NS = 600_000_000L
        const val CALLS_PER_READING = 20
        const val ALLOCATION_CALLS = 20

        /** Prompt tokens and target of the first event, in milliseconds. */
        val PROMPTS = listOf(4_960L to 309L, 45_000L to 1_514L, 300_000L to 4_024L)
        val PAUSES = PauseTargets(shortMs = 200.0, longMs = 650.0)
        val PROFILE = EngineProfile(
            slots = 8,
            kvCapacityTokens = 382_500,
            prefillTokensPerMs = 256.0,
            attentionMsPerMillionPairs = 0.0917,
            passMs = 48.0,
        )
    }
}
