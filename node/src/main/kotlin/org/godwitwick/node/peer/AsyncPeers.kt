package org.godwitwick.node.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import org.godwitwick.core.model.InstanceId
import java.util.concurrent.CompletableFuture

/** Messages to peers from the control thread, which must not block. */
interface AsyncPeers {
    /** Sends [message] without waiting for an answer. */
    fun send(to: InstanceId, message: PeerMessage)

    /** Asks [to]; the future never fails. */
    fun ask(to: InstanceId, message: PeerMessage, timeoutMs: Long): CompletableFuture<Result<PeerMessage, PeerFailure>>
}

/** The peers of an instance that runs alone. */
data object NoAsyncPeers : AsyncPeers {
    override fun send(to: InstanceId, message: PeerMessage) = Unit

    override fun ask(to: InstanceId, message: PeerMessage, timeoutMs: Long): CompletableFuture<Result<PeerMessage, PeerFailure>> =
        CompletableFuture.completedFuture(Err(PeerFailure.NotSent("no peer network")))
}
