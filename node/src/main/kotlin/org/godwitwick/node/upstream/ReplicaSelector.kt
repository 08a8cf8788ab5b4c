package org.godwitwick.node.upstream

import com.github.michaelbull.result.Result
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.GenerateRequest
import org.godwitwick.core.model.InstanceId

/** Chooses replicas for requests and is told how their dispatch went. Traffic threads call it. */
interface ReplicaSelector {
    /** Chooses a replica for [request], none of [excluded]. */
    fun select(request: GenerateRequest, excluded: Set<InstanceId>, nowMs: Long): Result<SelectedReplica, Failure>

    /** Chooses the replicas of a group for a [request] that needs the KV memory of several, in the order in which holds are taken. */
    fun selectGroup(request: GenerateRequest, excluded: Set<InstanceId>, nowMs: Long): Result<List<SelectedReplica>, Failure>

    /** Records the first token of [request] on [replica]. */
    fun onFirstToken(replica: InstanceId, request: GenerateRequest, nowMs: Long)

    /** Records the end of [request] on [replica]. */
    fun onEnd(replica: InstanceId, request: GenerateRequest, end: DispatchEnd, nowMs: Long)
}

/** A chosen replica; [address] is `ip:port`. */
data class SelectedReplica(val id: InstanceId, val address: String, val kvCapacityTokens: Int)

/** How a dispatch ended. */
enum class DispatchEnd { COMPLETE, CANCELLED, REFUSED, BROKEN }
