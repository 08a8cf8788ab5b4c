package org.godwitwick.node.upstream

import com.github.michaelbull.result.Result
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.GenerateRequest
import org.godwitwick.core.model.InstanceId

/**
 * Selects replicas for requests and is notified of the progress of their dispatches. Called by traffic threads; implementations
 * must not block.
 *
 * For each replica returned by [select] or [selectGroup], [onEnd] is called exactly once.
 */
interface ReplicaSelector {
    /** Selects a replica that is not in [excluded] for [request]. Fails with `no_upstream` or `overloaded`. */
    fun select(request: GenerateRequest, excluded: Set<InstanceId>, nowMs: Long): Result<SelectedReplica, Failure>

    /** Selects two to four replicas, none in [excluded], whose combined KV memory is large enough for [request]. */
    fun selectGroup(request: GenerateRequest, excluded: Set<InstanceId>, nowMs: Long): Result<List<SelectedReplica>, Failure>

    /** Called when [replica] has sent the first token of [request], that is, when its prefill is complete. */
    fun onFirstToken(replica: InstanceId, request: GenerateRequest, nowMs: Long)

    /** Called when [request] no longer runs on [replica]. */
    fun onEnd(replica: InstanceId, request: GenerateRequest, end: DispatchEnd, nowMs: Long)
}

/**
 * A replica selected for a request.
 *
 * @property address `ip:port` of the engine.
 * @property kvCapacityTokens KV memory of the engine, in tokens.
 */
data class SelectedReplica(val id: InstanceId, val address: String, val kvCapacityTokens: Int)

/** How a dispatch to a replica ended. */
enum class DispatchEnd {
    /** The complete answer was received. */
    COMPLETE,

    /** The caller, the deadline or the dispatcher cancelled the dispatch. */
    CANCELLED,

    /** The engine refused the dispatch and ran nothing. */
    REFUSED,

    /** The connection, the stream or the engine failed. */
    BROKEN,
}
