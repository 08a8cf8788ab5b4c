package org.godwitwick.lab.slopes

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.godwitwick.core.admission.Demand
import org.godwitwick.core.admission.DemandTable
import org.godwitwick.core.admission.FairQueue
import org.godwitwick.core.admission.QueuedItem
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.ListedKind
import org.godwitwick.core.model.OrganisationId
import org.godwitwick.core.model.PromptClass
import org.godwitwick.core.placement.CacheEvent
import org.godwitwick.core.placement.ExpectedFirstToken
import org.godwitwick.core.placement.LoadReport
import org.godwitwick.core.placement.PlacementRequest
import org.godwitwick.node.control.DemandRows
import org.godwitwick.node.control.LoadRows
import org.godwitwick.node.control.ReplicaDirectory
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.util.concurrent.Callable
import kotlin.random.Random

/** Time and memory that the replica view takes for a given number of replicas. */
@Serializable
data class ReplicaSlope(
    val replicas: Int,
    val decisionMicros: Double,
    val reportMicros: Double,
    val heapBytesPerReplica: Double,
    val rowBytesPerReplica: Double,
)

/** Time and memory that organisation state takes for a given number of organisations. */
@Serializable
data class OrganisationSlope(
    val organisations: Int,
    val queueMicros: Double,
    val shareMicros: Double,
    val heapBytesPerOrganisationAndPeer: Double,
    val rowBytesPerOrganisation: Double,
)

/** All measurements of one run. */
@Serializable
data class Slopes(
    val placementSlopes: List<PlacementSlope>,
    val replicaSlopes: List<ReplicaSlope> = emptyList(),
    val organisationSlopes: List<OrganisationSlope> = emptyList(),
)

/** Measures how decision time, heap bytes and row bytes grow with the number of upstreams, replicas and organisations. */
@Command(name = "slopes", mixinStandardHelpOptions = true, description = ["Prints decision time and bytes per row as JSON."])
class SlopesCommand : Callable<Int> {
    @Option(names = ["--placement-only"], description = ["Measures only the placements of the forward path."])
    var isPlacementOnly = false

    override fun call(): Int {
        val placement = PlacementSlopes()
        // Discarded, as below.
        placement.measure(100)
        val placementSlopes = listOf(78, 100, 333, 1_000, 4_000, 12_000).map(placement::measure)
        val slopes = if (isPlacementOnly) Slopes(placementSlopes) else allSlopes(placementSlopes)
        println(Json { prettyPrint = true }.encodeToString(slopes))
        return 0
    }

    private fun allSlopes(placementSlopes: List<PlacementSlope>): Slopes {
        // Discarded: these rounds give the JIT compiler time to compile the measured code.
        repeat(2) { listOf(100, 1_000).forEach(::replicaSlope) }
        return Slopes(
            placementSlopes,
            listOf(100, 1_000, 4_000, 12_000).map(::replicaSlope),
            // The first measurement with 10 organisations is a warm-up and is dropped.
            listOf(10, 10, 170, 1_700).map(::organisationSlope).drop(1),
        )
    }

    private fun replicaSlope(replicas: Int): ReplicaSlope {
        val random = Random(1)
        val before = usedHeapBytes()
        val directory = ReplicaDirectory("r", "a")
        val ids = List(replicas) { InstanceId("engine-$it") }
        directory.onList(ids.map { ListedInstance(it, ListedKind.ENGINE, "m", "10.0.0.1:8000", null, "r", "a") })
        ids.forEach { id -> directory.onReport(id, report(0, random), 0) }
        ids.forEach { id ->
            directory.onCacheEvents(id, List(CACHED_BLOCKS) { CacheEvent(it.toLong(), random.nextLong(), isAdded = true) })
        }
        val heapBytes = usedHeapBytes() - before
        val table = checkNotNull(directory.table("m"))
        val policy = ExpectedFirstToken()
        val request = PlacementRequest(20_000, 100, PromptClass.MEDIUM, LongArray(20) { it.toLong() })
        val decisionMicros = averageMicros(DECISIONS) { policy.choose(request, table, emptySet(), 100L + it % 1_000, random) }
        val reports = ids.map { report(1, random) }
        val reportMicros = averageMicros(replicas) { directory.onReport(ids[it], reports[it], 10) }
        val row = LoadRows(directory) { ids.associateWith { report(1, random) } }.encode(0)
        return ReplicaSlope(
            replicas,
            decisionMicros,
            reportMicros,
            heapBytes.toDouble() / replicas,
            row.size.toDouble() / replicas,
        )
    }

    private fun organisationSlope(count: Int): OrganisationSlope {
        val organisations = List(count) { OrganisationId("organisation-$it") }
        val before = usedHeapBytes()
        val table = DemandTable(InstanceId("n0"), 0)
        val peers = List(PEERS) { InstanceId("n${it + 1}") }
        table.onList(peers.toSet(), 0)
        val own = Demand(1, PEERS + 1, organisations.associateWith { 1_000.0 })
        val row = DemandRows(table) { own }.encode(1)
        val rows = DemandRows(table) { own }
        peers.forEach { rows.accept(it, row, 1) }
        val heapBytes = usedHeapBytes() - before
        val shareMicros = averageMicros(ITERATIONS) { table.shareOf(200_000.0, organisations[it % count], 100) }
        val queue = FairQueue<Int>(4_000) { 1.0 }
        organisations.forEach { id -> repeat(3) { queue.add(QueuedItem(id, 2_000, 0, it)) } }
        val queueMicros = averageMicros(ITERATIONS) {
            queue.add(QueuedItem(organisations[it % count], 2_000, 0, it))
            queue.take()
        }
        return OrganisationSlope(
            count,
            queueMicros,
            shareMicros,
            heapBytes.toDouble() / count / PEERS,
            row.size.toDouble() / count,
        )
    }

    private fun report(atMs: Long, random: Random) =
        LoadReport("i1", atMs, List(4) { random.nextLong(20_000) }, 300_000, 400_000, 20_000.0)

    private inline fun averageMicros(count: Int, action: (Int) -> Unit): Double {
        repeat(count) { action(it) }
        val start = System.nanoTime()
        repeat(count) { action(it) }
        return (System.nanoTime() - start) / 1_000.0 / count
    }

    private fun usedHeapBytes(): Long {
        repeat(3) { System.gc() }
        return Runtime.getRuntime().run { totalMemory() - freeMemory() }
    }

    private companion object {
        const val DECISIONS = 50_000
        const val ITERATIONS = 20_000
        const val PEERS = 14

        /** About 80% of a KV cache of 400,000 tokens, in blocks. */
        const val CACHED_BLOCKS = 320
    }
}
