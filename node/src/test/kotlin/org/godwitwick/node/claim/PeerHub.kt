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

/** In-memory network between instances. A request runs its handler on the calling thread. */
class PeerHub {
    private val handlers = ConcurrentHashMap<InstanceId, ConcurrentHashMap<Class<*>, (InstanceId, PeerMessage) -> PeerMessage?>>()

    /** Instances that the others consider dead. They cannot be reached either. */
    val dead: MutableSet<InstanceId> = ConcurrentHashMap.newKeySet()

    /** Instances that the others consider live but that can neither be reached nor reach others. */
    val unreachable: MutableSet<InstanceId> = ConcurrentHashMap.newKeySet()

    /** Instances that handle requests but whose answers are lost. */
    val answersLost: MutableSet<InstanceId> = ConcurrentHashMap.newKeySet()

    /** Returns the network as seen by instance [self]. */
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
                return if (answer == null || to in answersLost) Err(PeerFailure.NoAnswer("answer lost")) else Ok(answer)
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
