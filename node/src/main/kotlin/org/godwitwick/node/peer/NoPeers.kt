package org.godwitwick.node.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import org.godwitwick.core.model.InstanceId
import java.util.concurrent.CompletableFuture

/** [PeerNetwork] of an instance without peers: sends nothing, and every request fails as not sent. */
class NoPeers : PeerNetwork {
    override fun livePeers(): List<Peer> = emptyList()

    override fun send(to: InstanceId, message: PeerMessage) = Unit

    override fun request(to: InstanceId, message: PeerMessage, timeoutMs: Long): Result<PeerMessage, PeerFailure> =
        Err(PeerFailure.NotSent("no peer network"))

    override fun <M : PeerMessage> handleLater(
        type: Class<M>,
        handler: (from: InstanceId, message: M) -> CompletableFuture<out PeerMessage?>,
    ) = Unit
}
