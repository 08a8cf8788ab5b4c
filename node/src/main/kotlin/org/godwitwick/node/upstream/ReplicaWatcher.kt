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

/** Says whether the owner of a hold is gone. An answer in doubt is false, because a hold also ends by its expiry. */
fun interface OwnerDirectory {
    /** Whether [incarnation] of [owner] is known to run no more. */
    fun isGone(owner: InstanceId, incarnation: String): Boolean
}

/** Learns what the watcher sees. Called by the watcher's threads. */
interface ReplicaListener {
    /** [replica] reported its load. */
    fun onLoad(replica: ListedInstance, report: EngineLoadReport, nowMs: Long)

    /** The given incarnation of [replica] died. */
    fun onDeath(replica: ListedInstance, incarnation: String, nowMs: Long)
}

/**
 * Polls load and holds of the replicas for which [isAssigned] holds, and releases holds whose expiry has passed or whose owner is gone.
 * Reports of other replicas come from peers through [onReport].
 */
class ReplicaWatcher(
    private val engines: EngineClient,
    private val replicas: () -> List<ListedInstance>,
    private val owners: OwnerDirectory,
    private val listener: ReplicaListener,
    private val nowMs: () -> Long,
    private val periodMs: Long = 1_000,
    private val isAssigned: (ListedInstance) -> Boolean = { true },
) : ReplicaKnowledge,
    AutoCloseable {
    private val timer = Executors.newSingleThreadScheduledExecutor { Thread(it, "replica-watcher").apply { isDaemon = true } }
    private val pollers = Executors.newFixedThreadPool(POLL_THREADS) { Thread(it, "replica-poll").apply { isDaemon = true } }
    private val pulses = ConcurrentHashMap<InstanceId, ReplicaLiveness>()
    private val reports = ConcurrentHashMap<InstanceId, EngineLoadReport>()
    private val marks = LeavingEngines()

    @Volatile
    private var listedById = emptyMap<InstanceId, ListedInstance>()

    /** Polls every period. */
    fun start() {
        timer.scheduleWithFixedDelay(::pollGuarded, 0, periodMs, TimeUnit.MILLISECONDS)
    }

    /** Polls the assigned replicas once and waits for the answers, each up to [POLL_TIMEOUT_MS]. */
    fun poll() {
        val listed = replicas()
        onList(listed)
        val assigned = listed.filter(isAssigned)
        // An engine that another instance watches is judged by that instance, so a past failure here must not outlive the duty.
        pulses.keys.retainAll(assigned.mapTo(HashSet()) { it.id })
        pollers.invokeAll(assigned.map { Callable { pollOne(it) } })
    }

    /** Takes over the list's rows; [poll] does so with all of them. */
    fun onList(rows: List<ListedInstance>) {
        listedById = rows.associateBy { it.id }
        pulses.keys.retainAll(listedById.keys)
        reports.keys.retainAll(listedById.keys)
        synchronized(marks) { marks.onList(rows) }
    }

    /** Takes over a load report that a peer's watcher read. */
    fun onReport(replica: InstanceId, report: EngineLoadReport) {
        reports[replica] = report
        synchronized(marks) { marks.onLoad(replica, report) }
    }

    override fun unusable(): Set<InstanceId> = synchronized(marks) { marks.leaving } + pulses.filterValues { it.isDead }.keys

    override fun lastReport(engine: InstanceId): EngineLoadReport? = reports[engine]

    override fun listed(engine: InstanceId): ListedInstance? = listedById[engine]

    // A scheduled task that throws is never run again, so a failure is logged and kept inside the task.
    private fun pollGuarded() {
        try {
            poll()
        } catch (e: RuntimeException) {
            log.error("place: polling the replicas failed", e)
        }
    }

    private fun pollOne(replica: ListedInstance) {
        val report = engines.load(replica.address, POLL_TIMEOUT_MS).component1()
        val before = pulses[replica.id] ?: ReplicaLiveness()
        val (after, change) = if (report == null) before.onFailure() else before.onReport(report.incarnation)
        pulses[replica.id] = after
        val died = before.incarnation
        if (change == LivenessChange.DIED && died != null) {
            log.info("place: engine {} died", replica.id)
            listener.onDeath(replica, died, nowMs())
        }
        if (report == null) return
        onReport(replica.id, report)
        listener.onLoad(replica, report, nowMs())
        if (report.kvUsedTokens > 0) releaseOrphans(replica)
    }

    private fun releaseOrphans(replica: ListedInstance) {
        val holds = engines.holds(replica.address, POLL_TIMEOUT_MS).component1() ?: return
        holds.filter { it.expiresAtMs < nowMs() || owners.isGone(InstanceId(it.owner), it.ownerIncarnation) }.forEach {
            log.info("place: releases hold {} on {}", it.holdId, replica.id)
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
