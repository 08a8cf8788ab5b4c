package org.godwitwick.node.peer

import com.github.michaelbull.result.Result
import org.godwitwick.core.model.InstanceId
import java.util.concurrent.CompletableFuture

/** Messages between entry instances. A message may be lost, delayed or repeated, so no durable state depends on its delivery. */
interface PeerNetwork {
    /** Entry instances that are believed to be live, without this one. */
    fun livePeers(): List<Peer>

    /** Sends [message] to [to] without waiting for an answer. */
    fun send(to: InstanceId, message: PeerMessage)

    /** Sends [message] to [to] and waits up to [timeoutMs] for the answer. */
    fun request(to: InstanceId, message: PeerMessage, timeoutMs: Long): Result<PeerMessage, PeerFailure>

    /** Registers the [handler] of messages of [type]. It returns the answer to a request, or null for none. */
    fun <M : PeerMessage> handle(type: Class<M>, handler: (from: InstanceId, message: M) -> PeerMessage?) =
        handleLater(type) { from, message -> CompletableFuture.completedFuture(handler(from, message)) }

    /** Registers a [handler] of messages of [type] that answers asynchronously, so that no thread is blocked until then. */
    fun <M : PeerMessage> handleLater(
        type: Class<M>,
        handler: (from: InstanceId, message: M) -> CompletableFuture<out PeerMessage?>,
    )
}

/** Id and location of an entry instance. */
data class Peer(val id: InstanceId, val region: String, val dataCentre: String)

/** Reason why a request to a peer got no answer. */
sealed interface PeerFailure {
    /** No byte of the request was written. */
    data class NotSent(val message: String) : PeerFailure

    /** The request was written, at least in part, so the peer may have handled it. */
    data class NoAnswer(val message: String) : PeerFailure
}
