package org.godwitwick.node.upstream

import org.godwitwick.core.health.EngineLoadReport
import org.godwitwick.core.health.LeavingEngines
import org.godwitwick.core.health.LivenessChange
import org.godwitwick.core.health.ReplicaLiveness
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.ListedInstance
import org.slf4j.LoggerFactory
import java.util.concurrent.Callable
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/**
 * Tells whether the owner of a hold has terminated. The answer is false if in doubt, since a hold is also released after its
 * expiry.
 */
fun interface OwnerDirectory {
    /** Whether [incarnation] of [owner] is known to have terminated. */
    fun isTerminated(owner: InstanceId, incarnation: String): Boolean
}

/** Receives the load reports and deaths that a [ReplicaWatcher] observes. Called by the threads of the watcher. */
interface ReplicaListener {
    /** Called when [replica] has reported its load. */
    fun onLoad(replica: ListedInstance, report: EngineLoadReport, nowMs: Long)

    /** Called when the given incarnation of [replica] has died. */
    fun onDeath(replica: ListedInstance, incarnation: String, nowMs: Long)
}

/**
 * Polls the load and the holds of the replicas assigned to this instance, and releases holds that have expired or whose owner has
 * terminated. Load reports of other replicas are received from peers through [onReport].
 *
 * @property isAssigned whether this instance watches the given replica.
 */
class ReplicaWatcher(
    private val engines: EngineClient,
    private val replicas: () -> List<ListedInstance>,
    private val owners: OwnerDirectory,
    private val listener: ReplicaListener,
    private val nowMs: () -> Long,
    private val periodMs: Long = 1_000,
    private val isAssigned: (ListedInstance) -> Boolean = { true },
) : ReplicaStatusView,
    AutoCloseable {
    private val timer = Executors.newSingleThreadScheduledExecutor { Thread(it, "replica-watcher").apply { isDaemon = true } }
    private val pollers = Executors.newFixedThreadPool(POLL_THREADS) { Thread(it, "replica-poll").apply { isDaemon = true } }
    private val livenessById = ConcurrentHashMap<InstanceId, ReplicaLiveness>()
    private val reports = ConcurrentHashMap<InstanceId, EngineLoadReport>()
    private val leavingMarks = LeavingEngines()

    @Volatile
    private var listedById = emptyMap<InstanceId, ListedInstance>()

    /** Starts polling every [periodMs]. */
    fun start() {
        timer.scheduleWithFixedDelay(::pollAndLogFailure, 0, periodMs, TimeUnit.MILLISECONDS)
    }

    /** Polls the assigned replicas once and waits for the answers; each call times out after [POLL_TIMEOUT_MS]. */
    fun poll() {
        val listed = replicas()
        onList(listed)
        val assigned = listed.filter(isAssigned)
        // Once another instance watches an engine, that instance judges it; failures seen here must not count any longer.
        livenessById.keys.retainAll(assigned.mapTo(HashSet()) { it.id })
        pollers.invokeAll(assigned.map { Callable { pollOne(it) } })
    }

    /** Replaces the known replicas by [rows] and discards the state of all others. Called by each [poll] with the whole list. */
    fun onList(rows: List<ListedInstance>) {
        listedById = rows.associateBy { it.id }
        livenessById.keys.retainAll(listedById.keys)
        reports.keys.retainAll(listedById.keys)
        synchronized(leavingMarks) { leavingMarks.onList(rows) }
    }

    /** Records a load report, either read here or received from the watcher of a peer. */
    fun onReport(replica: InstanceId, report: EngineLoadReport) {
        reports[replica] = report
        synchronized(leavingMarks) { leavingMarks.onLoad(replica, report) }
    }

    override fun unusable(): Set<InstanceId> =
        synchronized(leavingMarks) { leavingMarks.leaving } + livenessById.filterValues { it.isDead }.keys

    override fun lastReport(engine: InstanceId): EngineLoadReport? = reports[engine]

    override fun listed(engine: InstanceId): ListedInstance? = listedById[engine]

    // The executor does not run a periodic task again after an exception, so exceptions are logged and not propagated.
    private fun pollAndLogFailure() {
        try {
            poll()
        } catch (e: RuntimeException) {
            log.error("place: watcher could not poll the replicas", e)
        }
    }

    private fun pollOne(replica: ListedInstance) {
        val report = engines.load(replica.address, POLL_TIMEOUT_MS).component1()
        val before = livenessById[replica.id] ?: ReplicaLiveness()
        val (after, change) = if (report == null) before.onFailure() else before.onReport(report.incarnation)
        livenessById[replica.id] = after
        val lostIncarnation = before.incarnation
        if (change == LivenessChange.DIED && lostIncarnation != null) {
            log.info("place: watcher found that engine {} died", replica.id)
            listener.onDeath(replica, lostIncarnation, nowMs())
        }
        if (report == null) return
        onReport(replica.id, report)
        listener.onLoad(replica, report, nowMs())
        if (report.kvUsedTokens > 0) releaseOrphans(replica)
    }

    private fun releaseOrphans(replica: ListedInstance) {
        val holds = engines.holds(replica.address, POLL_TIMEOUT_MS).component1() ?: return
        holds.filter { it.expiresAtMs < nowMs() || owners.isTerminated(InstanceId(it.owner), it.ownerIncarnation) }.forEach {
            log.info("place: watcher releases hold {} on engine {}", it.holdId, replica.id)
            engines.release(replica.address, it.holdId, POLL_TIMEOUT_MS)
        }
    }

    override fun close() {
        timer.shutdownNow()
        pollers.shutdownNow()
    }

    private companion object {
        val log = LoggerFactory.getLogger(ReplicaWatcher::class.java)
        const val POLL_THREADS = 8
        const val POLL_TIMEOUT_MS = 800L
    }
}
