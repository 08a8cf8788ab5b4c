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

/** What the path to the engines knows about replicas. Implementations answer from memory. */
interface ReplicaKnowledge {
    /** Engines that must get no new work: leaving or dead. */
    fun unusable(): Set<InstanceId>

    /** The last load report of [engine], or null. */
    fun lastReport(engine: InstanceId): EngineLoadReport?

    /** The row of [engine] on the instance list, or null. */
    fun listed(engine: InstanceId): ListedInstance?
}

/** Identity of this instance as the owner of holds. */
data class HoldOwner(val id: InstanceId, val incarnation: String)

/** Parts that all requests of one instance share. */
internal class RunParts(
    val engines: EngineClient,
    val cleanup: EngineCleanup,
    val selector: ReplicaSelector,
    val knowledge: ReplicaKnowledge,
    val guard: SuspicionGuard,
    val owner: HoldOwner,
    val counters: UpstreamCounters,
    val inFlight: InFlightTable,
    val takeRetry: (Long) -> Boolean,
    val nowMs: () -> Long,
)

/**
 * Runs model requests on the fleet: dispatch, retry within the budget, resumption on another engine, groups for prompts over one
 * engine's KV memory. The thread that reads a stream also enforces its deadline; no other thread has to run for a request to end.
 */
class FleetGenerateService(
    engines: EngineClient,
    private val cleanup: EngineCleanup,
    selector: ReplicaSelector,
    knowledge: ReplicaKnowledge,
    private val guard: SuspicionGuard,
    owner: HoldOwner,
    private val counters: UpstreamCounters,
    private val budget: RetryBudget = RetryBudget(),
    private val nowMs: () -> Long,
) : GenerateService,
    AutoCloseable {
    private val runs = ConcurrentHashMap<RequestId, RequestRun>()
    private val parts =
        RunParts(engines, cleanup, selector, knowledge, guard, owner, counters, InFlightTable(), ::takeRetry, nowMs)

    /** Number of requests that have not ended. */
    val running: Int get() = runs.size

    override fun start(request: GenerateRequest): Result<TokenStream, Failure> {
        val fingerprint = Fingerprint.of(request)
        if (guard.verdict(fingerprint, nowMs()) == SuspicionVerdict.QUARANTINED) {
            counters.quarantines.increment()
            return Err(quarantined(Executed.NO))
        }
        synchronized(budget) { budget.onRequest(nowMs()) }
        val run = RequestRun(request, fingerprint, parts, onEnd = { runs.remove(request.id) })
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

/** The failure of a request that is taken to crash engines. */
internal fun quarantined(ran: Executed) =
    Failure(ErrorKind.REQUEST_QUARANTINED, "engines failed while they ran this request; it is refused for a while", ran)
