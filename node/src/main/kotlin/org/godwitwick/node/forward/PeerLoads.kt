package org.godwitwick.node.forward

import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.UpstreamWork
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.peer.ForwardLoad
import java.util.concurrent.ConcurrentHashMap

/** The work of the other instances, as each last told it. */
class PeerLoads {
    private class Told(val load: ForwardLoad, val atMs: Long, val work: Map<Int, UpstreamWork>)

    private val told = ConcurrentHashMap<InstanceId, Told>()

    /** Takes what [from] tells; of two messages the one that was written later counts. */
    fun take(from: InstanceId, load: ForwardLoad, nowMs: Long) {
        told.compute(from) { _, known ->
            if (known != null && known.load.isNewerThan(load)) known else Told(load, nowMs, load.byUpstream())
        }
    }

    /** The work of all others at [entry]. What an instance told more than [MAX_AGE_MS] ago no longer counts. */
    fun workAt(entry: UpstreamEntry, nowMs: Long): UpstreamWork {
        val key = ForwardLoad.keyOf(entry.id)
        return told.values.filter { nowMs - it.atMs <= MAX_AGE_MS }
            .mapNotNull { row ->
                row.work[key]?.let { it.copy(pendingReadMs = (it.pendingReadMs - (nowMs - row.atMs)).coerceAtLeast(0.0)) }
            }
            .fold(UpstreamWork(), UpstreamWork::plus)
    }

    /** Other instances that told their work lately. */
    fun heardAt(nowMs: Long): Int = told.values.count { nowMs - it.atMs <= MAX_AGE_MS }

    private companion object {
        /** Several periods of the exchange; an instance that is silent for longer has gone or is cut off. */
        const val MAX_AGE_MS = 1_000L
    }
}
