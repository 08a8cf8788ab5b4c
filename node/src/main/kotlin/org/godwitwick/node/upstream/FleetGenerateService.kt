package org.godwitwick.node.upstream

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Executed
import org.godwitwick.core.error.Failure
import org.godwitwick.core.health.EngineLoadReport
import org.godwitwick.core.health.Fingerprint
import org.godwitwick.core.health.RetryBudget
import org.godwitwick.core.health.SuspicionVerdict
import org.godwitwick.core.model.GenerateRequest
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.OrganisationId
import org.godwitwick.core.model.RequestId
import java.util.concurrent.ConcurrentHashMap

/** Read-only view of the status of the replicas. Implementations answer from memory, without blocking. */
interface ReplicaStatusView {
    /** Engines that must not receive new work because they are leaving or dead. */
    fun unusable(): Set<InstanceId>

    /** The last load report of [engine], or null if none has been received. */
    fun lastReport(engine: InstanceId): EngineLoadReport?

    /** The entry of [engine] in the instance list, or null if it is not listed. */
    fun listed(engine: InstanceId): ListedInstance?
}

/** Identity of this instance as the owner of holds. */
data class HoldOwner(val id: InstanceId, val incarnation: String)

/** Components shared by all requests of one instance. */
internal class RunContext(
    val engines: EngineClient,
    val cleanup: EngineCleanup,
    val selector: ReplicaSelector,
    val replicaStatus: ReplicaStatusView,
    val guard: SuspicionGuard,
    val owner: HoldOwner,
    val counters: UpstreamCounters,
    val inFlight: InFlightTable,
    val takeRetry: (Long) -> Boolean,
    val nowMs: () -> Long,
)

/**
 * Runs model requests on the fleet: dispatch, retries within the budget, resumption on another engine, and groups for requests
 * that exceed the KV memory of one engine. The thread that reads a stream also enforces its deadline, so that a request ends
 * without depending on any other thread.
 */
class FleetGenerateService(
    engines: EngineClient,
    private val cleanup: EngineCleanup,
    selector: ReplicaSelector,
    replicaStatus: ReplicaStatusView,
    private val guard: SuspicionGuard,
    owner: HoldOwner,
    private val counters: UpstreamCounters,
    private val budget: RetryBudget = RetryBudget(),
    private val nowMs: () -> Long,
) : GenerateService,
    AutoCloseable {
    private val runs = ConcurrentHashMap<RequestId, RequestRun>()
    private val context =
        RunContext(engines, cleanup, selector, replicaStatus, guard, owner, counters, InFlightTable(), ::takeRetry, nowMs)

    /** Number of requests in flight. */
    val running: Int get() = runs.size

    override fun start(request: GenerateRequest): Result<TokenStream, Failure> {
        val fingerprint = Fingerprint.of(request)
        if (guard.verdict(fingerprint, nowMs()) == SuspicionVerdict.QUARANTINED) {
            counters.quarantines.increment()
            return Err(quarantined(Executed.NO))
        }
        synchronized(budget) { budget.onRequest(nowMs()) }
        val run = RequestRun(request, fingerprint, context, onEnd = { runs.remove(request.id) })
        runs[request.id] = run
        val failure = run.open() ?: return Ok(run)
        run.close()
        return Err(failure)
    }

    override fun cancel(organisation: OrganisationId, id: RequestId): Boolean {
        val run = runs[id]?.takeIf { it.organisation == organisation } ?: return false
        run.cancel()
        return true
    }

    private fun takeRetry(nowMs: Long): Boolean = synchronized(budget) { budget.tryTake(nowMs) }

    override fun close() {
        cleanup.close()
    }
}

/** The failure of a request that is suspected of crashing engines. */
internal fun quarantined(ran: Executed) =
    Failure(ErrorKind.REQUEST_QUARANTINED, "engines failed while running this request; it is refused temporarily", ran)
