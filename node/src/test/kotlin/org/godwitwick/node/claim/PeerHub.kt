package org.godwitwick.node.claim

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.peer.Peer
import org.godwitwick.node.peer.PeerFailure
import org.godwitwick.node.peer.PeerMessage
import org.godwitwick.node.peer.PeerNetwork
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap

/** Connects instances in memory. A request runs its handler on the calling thread. */
class PeerHub {
    private val handlers = ConcurrentHashMap<InstanceId, ConcurrentHashMap<Class<*>, (InstanceId, PeerMessage) -> PeerMessage?>>()

    /** Instances that are seen as dead. */
    val dead: MutableSet<InstanceId> = ConcurrentHashMap.newKeySet()

    /** Instances that are believed live and can't be reached. */
    val unreachable: MutableSet<InstanceId> = ConcurrentHashMap.newKeySet()

    /** Instances that handle requests and whose answers are lost. */
    val mute: MutableSet<InstanceId> = ConcurrentHashMap.newKeySet()

    /** The network as instance [self] sees it. */
    fun networkOf(self: InstanceId): PeerNetwork {
        handlers[self] = ConcurrentHashMap()
        return object : PeerNetwork {
            override fun livePeers() = handlers.keys.filter {
                it != self && it !in dead
            }.map { Peer(it, "tn-north", "tn-north-a") }

            override fun send(to: InstanceId, message: PeerMessage) = Unit

            override fun request(to: InstanceId, message: PeerMessage, timeoutMs: Long): Result<PeerMessage, PeerFailure> {
                if (to in dead || to in unreachable || self in unreachable) return Err(PeerFailure.NotSent("cut off"))
                val answer = handlers.getValue(to).getValue(message.javaClass)(self, message)
                return if (answer == null || to in mute) Err(PeerFailure.NoAnswer("answer lost")) else Ok(answer)
            }

            override fun <M : PeerMessage> handleLater(
                type: Class<M>,
                handler: (from: InstanceId, message: M) -> CompletableFuture<out PeerMessage?>,
            ) {
                handlers.getValue(self)[type] = { from, message -> handler(from, type.cast(message)).join() }
            }
        }
    }
}
