package org.godwitwick.node.upstream

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.GenerateRequest
import org.godwitwick.core.model.InstanceId
import java.util.concurrent.atomic.AtomicInteger

/** Selects the replicas returned by [replicasOf] in round-robin order, regardless of their load. */
class RoundRobinSelector(private val replicasOf: (model: String) -> List<SelectedReplica>) : ReplicaSelector {
    private val nextIndex = AtomicInteger()

    override fun select(request: GenerateRequest, excluded: Set<InstanceId>, nowMs: Long): Result<SelectedReplica, Failure> {
        val replicas = candidates(request, excluded)
        if (replicas.isEmpty()) return noReplica(request)
        return Ok(replicas[Math.floorMod(nextIndex.getAndIncrement(), replicas.size)])
    }

    override fun selectGroup(
        request: GenerateRequest,
        excluded: Set<InstanceId>,
        nowMs: Long,
    ): Result<List<SelectedReplica>, Failure> {
        val replicas = candidates(request, excluded)
        if (replicas.isEmpty()) return noReplica(request)
        val first = Math.floorMod(nextIndex.getAndIncrement(), replicas.size)
        return Ok(List(minOf(replicas.size, MAX_GROUP_MEMBERS)) { replicas[(first + it) % replicas.size] })
    }

    override fun onFirstToken(replica: InstanceId, request: GenerateRequest, nowMs: Long) = Unit

    override fun onEnd(replica: InstanceId, request: GenerateRequest, end: DispatchEnd, nowMs: Long) = Unit

    private fun candidates(request: GenerateRequest, excluded: Set<InstanceId>): List<SelectedReplica> =
        replicasOf(request.model).filter { it.id !in excluded }

    private fun noReplica(request: GenerateRequest) =
        Err(Failure(ErrorKind.NO_UPSTREAM, "no live replica of model ${request.model}"))

    private companion object {
        const val MAX_GROUP_MEMBERS = 4
    }
}
