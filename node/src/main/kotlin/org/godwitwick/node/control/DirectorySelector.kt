package org.godwitwick.node.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.GenerateRequest
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.RequestId
import org.godwitwick.core.placement.ExpectedFirstToken
import org.godwitwick.core.placement.PlacementPolicy
import org.godwitwick.core.placement.PlacementRequest
import org.godwitwick.core.placement.ReplicaView
import org.godwitwick.core.placement.SentWork
import org.godwitwick.node.upstream.DispatchEnd
import org.godwitwick.node.upstream.ReplicaSelector
import org.godwitwick.node.upstream.SelectedReplica
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

/**
 * Selects replicas from the directory by a placement policy and records the work that is sent to them.
 *
 * @param seed seed of the first thread's random numbers; each further thread uses the next higher seed.
 */
class DirectorySelector(
    private val directory: ReplicaDirectory,
    private val sentRows: SentRows,
    private val policy: PlacementPolicy = ExpectedFirstToken(),
    seed: Long,
) : ReplicaSelector {
    private data class DispatchKey(val replica: InstanceId, val request: RequestId)

    private val groupPolicy = policy as? ExpectedFirstToken ?: ExpectedFirstToken()
    private val waitingPrefillTokens = ConcurrentHashMap<DispatchKey, Long>()
    private val running = ConcurrentHashMap.newKeySet<DispatchKey>()
    private val nextSeed = AtomicLong(seed)

    // Random is not thread-safe, so each thread has its own generator.
    private val randoms = ThreadLocal.withInitial { Random(nextSeed.getAndIncrement()) }

    override fun select(request: GenerateRequest, excluded: Set<InstanceId>, nowMs: Long): Result<SelectedReplica, Failure> {
        val table = directory.table(request.model) ?: return Err(noReplica(request))
        val placementRequest = PlacementRequest.of(request)
        val placement =
            policy.choose(placementRequest, table, slots(excluded), nowMs, randoms.get()) ?: return Err(noReplica(request))
        recordDispatch(placement.replica, request, placement.prefillTokens, placementRequest.kvTokens, nowMs)
        return Ok(toSelected(placement.replica))
    }

    override fun selectGroup(
        request: GenerateRequest,
        excluded: Set<InstanceId>,
        nowMs: Long,
    ): Result<List<SelectedReplica>, Failure> {
        val table = directory.table(request.model) ?: return Err(noReplica(request))
        val placementRequest = PlacementRequest.of(request)
        val capacity =
            table.local.asSequence().firstNotNullOfOrNull { table.replica(it)?.kvCapacityTokens }
                ?: return Err(noReplica(request))
        val count = ExpectedFirstToken.groupSize(placementRequest, capacity)
            ?: return Err(Failure(ErrorKind.TOO_LARGE, "the prompt needs more than ${ExpectedFirstToken.MAX_GROUP} engines"))
        val members = groupPolicy.chooseGroup(placementRequest, count, table, slots(excluded), nowMs, randoms.get())
            ?: return Err(noReplica(request))
        members.forEach {
            recordDispatch(
                it,
                request,
                placementRequest.promptTokens.toLong() / count,
                placementRequest.kvTokens / count,
                nowMs,
            )
        }
        return Ok(members.map(::toSelected))
    }

    override fun onFirstToken(replica: InstanceId, request: GenerateRequest, nowMs: Long) {
        val tokens = waitingPrefillTokens.remove(DispatchKey(replica, request.id)) ?: return
        directory.tracked(replica)?.update { it.withFirstToken(tokens) }
    }

    override fun onEnd(replica: InstanceId, request: GenerateRequest, end: DispatchEnd, nowMs: Long) {
        onFirstToken(replica, request, nowMs)
        if (running.remove(DispatchKey(replica, request.id))) directory.tracked(replica)?.update { it.withEnded() }
    }

    private fun recordDispatch(replica: ReplicaView, request: GenerateRequest, prefillTokens: Long, kvTokens: Long, nowMs: Long) {
        val key = DispatchKey(replica.id, request.id)
        val work = SentWork(nowMs, request.promptClass, prefillTokens, kvTokens)
        waitingPrefillTokens[key] = prefillTokens
        running.add(key)
        directory.tracked(replica.id)?.update { it.withDispatch(work) }
        sentRows.onDispatch(replica.id, work)
    }

    private fun slots(ids: Set<InstanceId>): Set<Int> = ids.mapNotNullTo(HashSet()) { directory.tracked(it)?.slot }

    private fun toSelected(replica: ReplicaView) = SelectedReplica(replica.id, replica.address, replica.kvCapacityTokens)

    private fun noReplica(request: GenerateRequest) =
        Failure(ErrorKind.NO_UPSTREAM, "no usable replica of model ${request.model} is within reach")
}
