package org.godwitwick.node.control

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.ListedKind
import org.godwitwick.core.model.ListedState
import org.godwitwick.core.placement.CacheEvent
import org.godwitwick.core.placement.CacheIndex
import org.godwitwick.core.placement.LoadReport
import org.godwitwick.core.placement.ReplicaView
import org.godwitwick.core.placement.SentWork
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap

/**
 * Load of one model in a data centre, as summarised by the delegate of that data centre: totals over its [replicas], and a few
 * [gateways] that represent them.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
data class ModelLoadSummary(
    val model: String,
    val dataCentre: String,
    val atMs: Long,
    val replicas: Int,
    val queuedPrefillTokens: Long,
    val freeKvTokens: Long,
    val gateways: List<InstanceId>,
)

/**
 * The replicas that an instance may choose from. It is modified on the control thread only; [table] and [tracked] may be called
 * from any thread.
 *
 * @param region region of the instance; replicas of other regions are ignored.
 * @param dataCentre data centre of the instance.
 */
class ReplicaDirectory(private val region: String, private val dataCentre: String) {
    private class Snapshot(val trackedReplicas: Map<InstanceId, TrackedReplica>, val tables: Map<String, ModelTable>) {
        val ids: Map<Int, InstanceId> = trackedReplicas.keys.associateBy { it.value.hashCode() }
    }

    private val indexes = ConcurrentHashMap<String, CacheIndex>()
    private val gateways = HashMap<Pair<String, String>, Set<InstanceId>>()
    private var listed: List<ListedInstance> = emptyList()
    private var nextSlot = 0

    @Volatile
    private var snapshot = Snapshot(emptyMap(), emptyMap())

    /** Replicas of [model], or null if there are none. */
    fun table(model: String): ModelTable? = snapshot.tables[model]

    /** The replica [id], or null if it is not in the directory. */
    fun tracked(id: InstanceId): TrackedReplica? = snapshot.trackedReplicas[id]

    /**
     * Id of the replica with the id hash [idHash], or null. If two ids have the same hash, one gets all rows and the other none.
     */
    fun idOf(idHash: Int): InstanceId? = snapshot.ids[idHash]

    /** Models that have replicas in the directory. */
    val models: Set<String> get() = snapshot.tables.keys

    /** Applies a new instance list. A replica with an unchanged address and model keeps its load and cache contents. */
    fun onList(instances: List<ListedInstance>) {
        if (instances == listed) return
        listed = instances
        rebuild()
    }

    /**
     * Applies a load report that this instance read itself or received in a row. A changed incarnation means that the engine
     * restarted with an empty cache. A report dated in the future, from a clock that is ahead, is dated [nowMs]; otherwise work
     * sent until the report's time would be taken as included in it.
     */
    fun onReport(replica: InstanceId, received: LoadReport, nowMs: Long) {
        val report = received.copy(
            incarnation = LoadRows.shortIncarnation(received.incarnation),
            atMs = minOf(received.atMs, nowMs),
        )
        val tracked = snapshot.trackedReplicas[replica] ?: return
        val before = tracked.load.report
        if (before != null && before.incarnation != report.incarnation) indexOf(tracked).forget(tracked.slot)
        tracked.update { it.withReport(report) }
        val isOpen = tracked.listed.state == ListedState.LIVE && tracked.load.report?.isLeaving != true
        if (tracked.isOpen == isOpen) return
        tracked.isOpen = isOpen
        log.info("place: replica {} {} new work", replica, if (isOpen) "accepts" else "is leaving and gets no")
        rebuild()
    }

    /** Excludes [replica] from placement until its next report, and drops its cache contents from the index. */
    fun onDead(replica: InstanceId) {
        val tracked = snapshot.trackedReplicas[replica] ?: return
        tracked.isOpen = false
        indexOf(tracked).forget(tracked.slot)
        log.warn("place: replica {} is taken out until it reports again", replica)
        rebuild()
    }

    /** Applies cache events of [replica] to the cache index. */
    fun onCacheEvents(replica: InstanceId, events: List<CacheEvent>) {
        val tracked = snapshot.trackedReplicas[replica] ?: return
        indexOf(tracked).apply(tracked.slot, events)
    }

    /** Adds work that a peer sent to [replica]. */
    fun onSentByPeer(replica: InstanceId, work: SentWork) {
        snapshot.trackedReplicas[replica]?.update { it.withSent(work) }
    }

    /** Applies the summary of another data centre of the region. Each of its gateways is assumed to have the mean load. */
    fun onSummary(summary: ModelLoadSummary) {
        if (summary.dataCentre == dataCentre || summary.replicas <= 0) return
        val key = summary.model to summary.dataCentre
        val ids = summary.gateways.take(MAX_GATEWAYS).toSet()
        if (gateways.put(key, ids) != ids) rebuild()
        ids.forEach { id -> snapshot.trackedReplicas[id]?.update { it.withReport(meanReport(summary)) } }
    }

    /** Drops all loads and cache contents, for use after the process was paused. */
    fun clear() {
        snapshot.trackedReplicas.values.forEach { indexOf(it).forget(it.slot) }
        snapshot = Snapshot(emptyMap(), emptyMap())
        rebuild()
    }

    private fun rebuild() {
        val previous = snapshot.trackedReplicas
        val allGateways = gateways.values.flatten().toSet()
        val engines = listed.filter {
            it.kind == ListedKind.ENGINE && it.region == region && (it.dataCentre == dataCentre || it.id in allGateways)
        }
        val trackedReplicas = engines.associate { row -> row.id to trackedReplicaFor(row, previous[row.id]) }
        (previous.values - trackedReplicas.values.toSet()).forEach { indexOf(it).forget(it.slot) }
        val tables = trackedReplicas.values.groupBy { it.listed.name }.mapValues { (model, ofModel) ->
            val (local, remote) = ofModel.filter { it.isOpen }.partition { it.listed.dataCentre == dataCentre }
            ModelTable(slots(local), slots(remote), ofModel.associateBy { it.slot }, indexFor(model))
        }
        snapshot = Snapshot(trackedReplicas, tables)
    }

    private fun trackedReplicaFor(row: ListedInstance, previous: TrackedReplica?): TrackedReplica {
        if (previous != null && previous.listed == row) return previous
        val isSameProcess = previous != null && previous.listed.address == row.address && previous.listed.name == row.name
        val slot = if (isSameProcess) previous.slot else nextSlot++
        return TrackedReplica(slot, row, if (row.dataCentre == dataCentre) LOCAL_NETWORK_MS else REMOTE_NETWORK_MS).apply {
            if (isSameProcess) update { previous.load }
            isOpen = row.state == ListedState.LIVE && load.report?.isLeaving != true
        }
    }

    private fun slots(trackedReplicas: List<TrackedReplica>) = trackedReplicas.map { it.slot }.sorted().toIntArray()

    private fun indexOf(tracked: TrackedReplica) = indexFor(tracked.listed.name)

    // A concurrent map, because traffic threads read the index while the control thread writes it.
    private fun indexFor(model: String) = indexes.getOrPut(model) { CacheIndex(ConcurrentHashMap()) }

    private fun meanReport(summary: ModelLoadSummary) = LoadReport(
        incarnation = "summary",
        atMs = summary.atMs,
        queuedPrefillTokens = listOf(summary.queuedPrefillTokens / summary.replicas),
        freeKvTokens = summary.freeKvTokens / summary.replicas,
        kvCapacityTokens = ReplicaView.DEFAULT_KV_TOKENS,
        prefillTokensPerSecond = ReplicaView.DEFAULT_PREFILL_TOKENS_PER_SECOND,
    )

    private companion object {
        val log = LoggerFactory.getLogger(ReplicaDirectory::class.java)
        const val LOCAL_NETWORK_MS = 1.0

        /**
         * Above the network time of about 1 ms between data centres of a region: the return path and a colder cache cost more.
         */
        const val REMOTE_NETWORK_MS = 20.0
        const val MAX_GATEWAYS = 8
    }
}
