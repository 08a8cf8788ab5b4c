package org.godwitwick.node.upstream

import com.github.michaelbull.result.Result
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.GenerateRequest
import org.godwitwick.core.model.InstanceId

/**
 * Chooses replicas for requests and learns what became of them. Called by traffic threads; implementations don't block.
 *
 * Each replica returned by [select] or [selectGroup] is reported to [onEnd] exactly once.
 */
interface ReplicaSelector {
    /** The replica that runs [request], none of [excluded]. Fails with `no_upstream` or `overloaded`. */
    fun select(request: GenerateRequest, excluded: Set<InstanceId>, nowMs: Long): Result<SelectedReplica, Failure>

    /** Two to four replicas whose KV memory together holds [request], none of [excluded]. */
    fun selectGroup(request: GenerateRequest, excluded: Set<InstanceId>, nowMs: Long): Result<List<SelectedReplica>, Failure>

    /** The first token of [request] came from [replica], so its prefill is done. */
    fun onFirstToken(replica: InstanceId, request: GenerateRequest, nowMs: Long)

    /** [request] no longer runs on [replica]. */
    fun onEnd(replica: InstanceId, request: GenerateRequest, end: DispatchEnd, nowMs: Long)
}

/**
 * A replica chosen for one request.
 *
 * @property address `ip:port` of the engine.
 * @property kvCapacityTokens KV memory of the engine, in tokens.
 */
data class SelectedReplica(val id: InstanceId, val address: String, val kvCapacityTokens: Int)

/** How a dispatch to a replica ended. */
enum class DispatchEnd {
    /** The whole answer came. */
    COMPLETE,

    /** The caller or the deadline ended it. */
    CANCELLED,

    /** The engine refused it and ran nothing. */
    REFUSED,

    /** The connection, the stream or the engine failed. */
    BROKEN,
}
