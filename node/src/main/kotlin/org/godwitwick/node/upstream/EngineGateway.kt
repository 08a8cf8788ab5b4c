package org.godwitwick.node.upstream

import okhttp3.OkHttpClient
import org.godwitwick.core.health.EngineDeath
import org.godwitwick.core.health.EngineLoadReport
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.ListedKind

/**
 * Wires the components through which an instance uses the engines: client, watcher, crash suspicions and request execution.
 *
 * @param client must not retry calls, and its read timeout is the stall timeout.
 * @property listed returns the entries of the instance list.
 * @property owner identifies this instance in the holds that it reserves.
 * @property loads also notified of the loads and deaths that the watcher observes, or null.
 * @param selectorOf creates the selector from the replica status that the watcher maintains.
 */
class EngineGateway(
    client: OkHttpClient,
    private val listed: () -> List<ListedInstance>,
    private val owner: HoldOwner,
    broadcaster: SuspicionBroadcaster = SuspicionBroadcaster { },
    owners: OwnerDirectory? = null,
    private val nowMs: () -> Long = System::currentTimeMillis,
    watchPeriodMs: Long = 1_000,
    isAssigned: (ListedInstance) -> Boolean = { true },
    private val loads: ReplicaListener? = null,
    selectorOf: (ReplicaStatusView) -> ReplicaSelector,
) : AutoCloseable {
    /** Counters of the calls to engines. */
    val counters = UpstreamCounters()

    /** Client of the engines. */
    val engines = EngineClient(client, counters)

    /** The crash suspicions; rows pushed by peers are passed to [SuspicionGuard.onPush]. */
    val guard = SuspicionGuard(owner.id, broadcaster, firstVersion = nowMs())

    /** The watcher of the replicas. */
    val watcher = ReplicaWatcher(
        engines,
        { listed().filter { it.kind == ListedKind.ENGINE } },
        owners ?: OwnerDirectory { id, incarnation -> id == owner.id && incarnation != owner.incarnation },
        WatcherEvents(),
        nowMs,
        watchPeriodMs,
        isAssigned,
    )

    /** The service that runs requests. */
    val generate = FleetGenerateService(
        engines,
        EngineCleanup(engines, counters),
        selectorOf(watcher),
        watcher,
        guard,
        owner,
        counters,
        nowMs = nowMs,
    )

    /** Starts the watcher. */
    fun start() = watcher.start()

    override fun close() {
        watcher.close()
        generate.close()
    }

    private inner class WatcherEvents : ReplicaListener {
        override fun onLoad(replica: ListedInstance, report: EngineLoadReport, nowMs: Long) {
            loads?.onLoad(replica, report, nowMs)
        }

        override fun onDeath(replica: ListedInstance, incarnation: String, nowMs: Long) {
            guard.onOtherDeath(EngineDeath(replica.id, incarnation, replica.dataCentre, replica.rack, nowMs))
            loads?.onDeath(replica, incarnation, nowMs)
        }
    }
}

/** A selector that uses the listed and usable replicas of a model in round-robin order. */
fun roundRobinSelector(listed: () -> List<ListedInstance>, replicaStatus: ReplicaStatusView): ReplicaSelector =
    RoundRobinSelector { model ->
        listed().filter { it.kind == ListedKind.ENGINE && it.name == model && it.id !in replicaStatus.unusable() }.map {
            SelectedReplica(it.id, it.address, replicaStatus.lastReport(it.id)?.kvCapacityTokens ?: Int.MAX_VALUE)
        }
    }
