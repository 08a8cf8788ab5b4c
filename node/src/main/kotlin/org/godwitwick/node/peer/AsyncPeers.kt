package org.godwitwick.node.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import org.godwitwick.core.model.InstanceId
import java.util.concurrent.CompletableFuture

/** Non-blocking messages to peers, for use on the control thread. */
interface AsyncPeers {
    /** Sends [message] without waiting for an answer. */
    fun send(to: InstanceId, message: PeerMessage)

    /**
     * Sends the request [message] to [to]. The future yields the answer, or a [PeerFailure] after at most [timeoutMs]; it never
     * completes exceptionally.
     */
    fun ask(to: InstanceId, message: PeerMessage, timeoutMs: Long): CompletableFuture<Result<PeerMessage, PeerFailure>>
}

/** [AsyncPeers] of an instance without a peer network: sends nothing, and every request fails as not sent. */
data object NoAsyncPeers : AsyncPeers {
    override fun send(to: InstanceId, message: PeerMessage) = Unit

    override fun ask(to: InstanceId, message: PeerMessage, timeoutMs: Long): CompletableFuture<Result<PeerMessage, PeerFailure>> =
        CompletableFuture.completedFuture(Err(PeerFailure.NotSent("no peer network")))
}
