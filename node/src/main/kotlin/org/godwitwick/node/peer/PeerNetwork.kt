package org.godwitwick.node.peer

import com.github.michaelbull.result.Result
import org.godwitwick.core.model.InstanceId
import java.util.concurrent.CompletableFuture

/** Messages between entry instances. A message may be lost, late or repeated; nothing durable depends on one. */
interface PeerNetwork {
    /** Entry instances that are believed live, without this one. */
    fun livePeers(): List<Peer>

    /** Sends [message] to [to] without waiting for an answer. */
    fun send(to: InstanceId, message: PeerMessage)

    /** Sends [message] to [to] and waits up to [timeoutMs] for the answer. */
    fun request(to: InstanceId, message: PeerMessage, timeoutMs: Long): Result<PeerMessage, PeerFailure>

    /** Registers the handler of one message type; its return value is the answer of a request, or null for none. */
    fun <M : PeerMessage> handle(type: Class<M>, handler: (from: InstanceId, message: M) -> PeerMessage?) =
        handleLater(type) { from, message -> CompletableFuture.completedFuture(handler(from, message)) }

    /** Registers a handler like [handle] whose answer may come later without holding a thread. */
    fun <M : PeerMessage> handleLater(
        type: Class<M>,
        handler: (from: InstanceId, message: M) -> CompletableFuture<out PeerMessage?>,
    )
}

/** A live entry instance as other instances see it. */
data class Peer(val id: InstanceId, val region: String, val dataCentre: String)

/** Why no answer came from a peer. */
sealed interface PeerFailure {
    /** No byte of the request was written. */
    data class NotSent(val message: String) : PeerFailure

    /** The request may have been handled. */
    data class NoAnswer(val message: String) : PeerFailure
}
