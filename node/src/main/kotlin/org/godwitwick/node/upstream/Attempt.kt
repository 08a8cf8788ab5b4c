package org.godwitwick.node.upstream

import org.godwitwick.core.error.Failure

/**
 * One dispatch of a request that an engine has accepted.
 *
 * @property replicas replicas that the selector chose; one, or the members of a group in the order of the prompt.
 * @property engine the replica that generates.
 * @property dispatchId request id in engine messages. It differs between attempts, so that a late message or cancel of an earlier
 * attempt can't concern a later one.
 */
internal class Attempt(
    val replicas: List<SelectedReplica>,
    val engine: SelectedReplica,
    val dispatchId: String,
    val stream: EngineStream,
    val holds: List<HeldMemory>,
    val entries: List<InFlightTable.Entry>,
)

/** A hold that this instance took or tried to take. */
internal data class HeldMemory(val address: String, val holdId: String)

/** What became of a dispatch. */
internal sealed interface Opening {
    class Opened(val attempt: Attempt) : Opening

    /** A dispatch to [engine] failed with [failure]; [entries] ran on the engines concerned. */
    class Failed(
        val engine: SelectedReplica,
        val failure: EngineFailure,
        val entries: List<InFlightTable.Entry>,
        val isGroup: Boolean,
    ) : Opening

    /** No engine could be chosen. */
    class NotPlaced(val failure: Failure) : Opening
}
