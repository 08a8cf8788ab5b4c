package org.godwitwick.node.upstream

import org.godwitwick.core.error.Failure

/**
 * A dispatch of a request that an engine has accepted.
 *
 * @property replicas replicas chosen by the selector: a single one, or the members of a group in prompt order.
 * @property engine the replica that generates the tokens.
 * @property dispatchId request id in engine messages. It is unique per attempt, so that a late message or cancellation of an
 * earlier attempt cannot affect a later one.
 * @property holds KV memory reserved for the attempt; empty unless it runs on a group.
 * @property entries the in-flight entries of the attempt, one per engine that was given work.
 */
internal class Attempt(
    val replicas: List<SelectedReplica>,
    val engine: SelectedReplica,
    val dispatchId: String,
    val stream: EngineStream,
    val holds: List<HoldRef>,
    val entries: List<InFlightTable.Entry>,
)

/** Identifies a hold that this instance reserved or tried to reserve on the engine at [address]. */
internal data class HoldRef(val address: String, val holdId: String)

/** The result of a dispatch. */
internal sealed interface DispatchResult {
    /** An engine accepted the request and streams its answer. */
    class Accepted(val attempt: Attempt) : DispatchResult

    /** The dispatch to [engine] failed with [failure]; [entries] are the in-flight entries of the attempt. */
    class Failed(
        val engine: SelectedReplica,
        val failure: EngineFailure,
        val entries: List<InFlightTable.Entry>,
        val isGroup: Boolean,
    ) : DispatchResult

    /** No engine could be selected, so the request was sent to none. */
    class NotPlaced(val failure: Failure) : DispatchResult
}
