package org.godwitwick.node.entry

import kotlinx.serialization.builtins.ListSerializer
import okhttp3.OkHttpClient
import org.godwitwick.core.config.ConfigView
import org.godwitwick.core.health.EngineLoadReport
import org.godwitwick.core.health.SuspicionRow
import org.godwitwick.core.membership.Member
import org.godwitwick.core.membership.MemberState
import org.godwitwick.core.membership.RowTopic
import org.godwitwick.core.membership.watcherOf
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.PromptClass
import org.godwitwick.core.placement.ReplicaView
import org.godwitwick.node.control.AdmissionGate
import org.godwitwick.node.control.ControlThread
import org.godwitwick.node.control.DirectorySelector
import org.godwitwick.node.control.GateContext
import org.godwitwick.node.control.LoadRows
import org.godwitwick.node.control.PeerRows
import org.godwitwick.node.control.ReplicaDirectory
import org.godwitwick.node.control.RowCodec
import org.godwitwick.node.control.SentRows
import org.godwitwick.node.peer.Peer
import org.godwitwick.node.peer.RowExchange
import org.godwitwick.node.upstream.EngineGateway
import org.godwitwick.node.upstream.GenerateService
import org.godwitwick.node.upstream.HoldOwner
import org.godwitwick.node.upstream.OwnerDirectory
import org.godwitwick.node.upstream.ReplicaListener
import org.godwitwick.node.upstream.SuspicionBroadcaster
import java.util.concurrent.ConcurrentHashMap
import org.godwitwick.core.placement.LoadReport as PlacementReport

/**
 * Wires admission, placement and the use of the engines for one instance, and connects them to the rows exchanged with its peers.
 *
 * @param members returns all members of the fleet, including this instance.
 */
class RoutingSystem(
    private val self: Peer,
    incarnation: Long,
    client: OkHttpClient,
    private val control: ControlThread,
    private val listed: () -> List<ListedInstance>,
    config: () -> ConfigView,
    private val rows: RowExchange,
    private val members: () -> List<Member>,
    private val nowMs: () -> Long = System::currentTimeMillis,
) : AutoCloseable {
    private val directory = ReplicaDirectory(self.region, self.dataCentre)
    private val sentRows = SentRows(directory)
    private val selector = DirectorySelector(directory, sentRows, seed = incarnation)
    private val admission =
        AdmissionGate(GateContext(self.id, self.dataCentre, nowMs(), incarnation), control, directory, config, nowMs)
    private val watchedReplicaReports = ConcurrentHashMap<InstanceId, PlacementReport>()
    private val gateway = EngineGateway(
        client,
        listed,
        HoldOwner(self.id, incarnation.toString()),
        broadcaster = SuspicionBroadcaster(::pushSuspicions),
        owners = OwnerDirectory(::isTerminated),
        nowMs = nowMs,
        isAssigned = ::isAssigned,
        loads = WatchedReplicas(),
        selectorOf = { selector },
    )
    private val binding = RowBinding(
        control,
        rows,
        mapOf<PeerRows, RowTopic>(
            LoadRows(directory, ::watchedReports) to RowTopic.REPLICA_LOAD,
            sentRows to RowTopic.REPLICA_LOAD,
            // Limits are divided among all instances, so instances in other data centres need this demand too.
            admission.demandRows to RowTopic.DEMAND_SUMMARY,
        ),
        nowMs,
    )

    /** Runs admitted requests. */
    val generate: GenerateService = AdmittedGenerateService(admission, gateway.generate, nowMs)

    /** The components through which this instance uses the engines. */
    val engineGateway: EngineGateway get() = gateway

    /** Starts the watcher, the exchange of rows and the periodic tasks of admission. */
    fun start() {
        control.post { rows.onRow(RowTopic.SUSPICION) { takeSuspicions(it.body) } }
        control.post(::onList)
        control.every(LIST_PERIOD_MS, ::onList)
        admission.start()
        binding.start()
        gateway.start()
    }

    /** Whether the other instances include this one when they divide limits. Call on the control thread. */
    fun isSettled(): Boolean = admission.isSettled()

    /** Discards state that became outdated while the process was paused. Call on the control thread. */
    fun onResumed() {
        directory.clear()
        admission.onResumed()
        onList()
    }

    override fun close() = gateway.close()

    private fun onList() {
        val present = listed()
        directory.onList(present)
        admission.onList(present)
        watchedReplicaReports.keys.retainAll(present.mapTo(HashSet()) { it.id })
    }

    // Until the first members are known, each instance watches all engines of its data centre.
    private fun isAssigned(replica: ListedInstance): Boolean {
        if (replica.dataCentre != self.dataCentre) return false
        return (watcherOf(replica.id, self.dataCentre, members()) ?: self.id) == self.id
    }

    private fun isTerminated(owner: InstanceId, incarnation: String): Boolean {
        val known = members().firstOrNull { it.id == owner && it.state == MemberState.LIVE } ?: return false
        return known.incarnation > (incarnation.toLongOrNull() ?: return false)
    }

    private fun watchedReports(): Map<InstanceId, PlacementReport> =
        listed().filter { watchedReplicaReports.containsKey(it.id) && isAssigned(it) }
            .mapNotNull { replica -> watchedReplicaReports[replica.id]?.let { replica.id to it } }
            .toMap()

    private fun pushSuspicions(suspicions: List<SuspicionRow>) = control.post {
        suspicions.forEach { row ->
            val body = RowCodec.encode(ListSerializer(SuspicionRow.serializer()), listOf(row))
            rows.publishUrgent(RowTopic.SUSPICION, row.fingerprint.toString(), body)
        }
    }

    private fun takeSuspicions(body: ByteArray) {
        RowCodec.decode(ListSerializer(SuspicionRow.serializer()), body)?.let(gateway.guard::onPush)
    }

    private inner class WatchedReplicas : ReplicaListener {
        override fun onLoad(replica: ListedInstance, report: EngineLoadReport, nowMs: Long) {
            val read = placementReport(report, nowMs)
            watchedReplicaReports[replica.id] = read
            control.post { directory.onReport(replica.id, read, nowMs) }
        }

        override fun onDeath(replica: ListedInstance, incarnation: String, nowMs: Long) {
            watchedReplicaReports.remove(replica.id)
            control.post { directory.onDead(replica.id) }
        }
    }

    private companion object {
        const val LIST_PERIOD_MS = 250L

        // Priority levels beyond the last class are added to that class, since they also wait behind all other classes.
        fun queuedTokensByClass(report: EngineLoadReport): List<Long> {
            val byLevel = report.queuedPrefillByPriority.ifEmpty { listOf(report.queuedPrefillTokens.toLong()) }
            val last = PromptClass.entries.lastIndex
            return byLevel.take(last) + listOf(byLevel.drop(last).sum()).filter { byLevel.size > last }
        }

        fun placementReport(report: EngineLoadReport, atMs: Long) = PlacementReport(
            incarnation = report.incarnation,
            atMs = atMs,
            queuedPrefillTokens = queuedTokensByClass(report),
            freeKvTokens = (report.kvCapacityTokens - report.kvUsedTokens).toLong(),
            kvCapacityTokens = report.kvCapacityTokens,
            prefillTokensPerSecond = report.prefillTokensPerSecond ?: ReplicaView.DEFAULT_PREFILL_TOKENS_PER_SECOND,
            isLeaving = report.leaving,
        )
    }
}
