package org.godwitwick.node.upstream

import okhttp3.OkHttpClient
import org.godwitwick.core.health.EngineDeath
import org.godwitwick.core.health.EngineLoadReport
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.ListedKind

/**
 * The parts of one instance that reach the engines, assembled. [selectorOf] builds the selector from the watcher's knowledge.
 *
 * @property client closes connections after the stall timeout and never retries by itself.
 * @property listed rows of the instance list.
 * @property loads learns the loads and deaths that the watcher sees, or null.
 */
class UpstreamPath(
    client: OkHttpClient,
    private val listed: () -> List<ListedInstance>,
    private val owner: HoldOwner,
    share: SuspicionShare = SuspicionShare { },
    owners: OwnerDirectory? = null,
    private val nowMs: () -> Long = System::currentTimeMillis,
    watchPeriodMs: Long = 1_000,
    isAssigned: (ListedInstance) -> Boolean = { true },
    private val loads: ReplicaListener? = null,
    selectorOf: (ReplicaKnowledge) -> ReplicaSelector,
) : AutoCloseable {
    /** Counters of this path. */
    val counters = UpstreamCounters()

    /** Client of the engines. */
    val engines = EngineClient(client, counters)

    /** The crash suspicions; a peer's pushes go to its `onPush`. */
    val guard = SuspicionGuard(owner.id, share, firstVersion = nowMs())

    /** The watcher of the replicas. */
    val watcher = ReplicaWatcher(
        engines,
        { listed().filter { it.kind == ListedKind.ENGINE } },
        owners ?: OwnerDirectory { id, incarnation -> id == owner.id && incarnation != owner.incarnation },
        DeathsToGuard(),
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

    private inner class DeathsToGuard : ReplicaListener {
        override fun onLoad(replica: ListedInstance, report: EngineLoadReport, nowMs: Long) {
            loads?.onLoad(replica, report, nowMs)
        }

        override fun onDeath(replica: ListedInstance, incarnation: String, nowMs: Long) {
            guard.onOtherDeath(EngineDeath(replica.id, incarnation, replica.dataCentre, replica.rack, nowMs))
            loads?.onDeath(replica, incarnation, nowMs)
        }
    }
}

/** A selector that takes the listed live replicas of a model in turn. */
fun rotatingSelector(listed: () -> List<ListedInstance>, knowledge: ReplicaKnowledge): ReplicaSelector =
    RotatingSelector { model ->
        listed().filter { it.kind == ListedKind.ENGINE && it.name == model && it.id !in knowledge.unusable() }.map {
            SelectedReplica(it.id, it.address, knowledge.lastReport(it.id)?.kvCapacityTokens ?: Int.MAX_VALUE)
        }
    }
