package org.godwitwick.node.control

import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.placement.ReplicaLoad
import org.godwitwick.core.placement.ReplicaView
import java.util.concurrent.atomic.AtomicReference

/**
 * One replica in the directory with its current load. The load is an immutable value that is replaced atomically, so that a
 * placement decision on one traffic thread includes work just sent by another, without waiting for the control thread.
 */
class TrackedReplica(val slot: Int, val listed: ListedInstance, private val networkMs: Double) {
    private val loadRef = AtomicReference(ReplicaLoad())

    /** Current load. */
    val load: ReplicaLoad get() = loadRef.get()

    /** Whether the replica may receive new work. */
    @Volatile
    var isOpen: Boolean = true

    /** Atomically replaces the load by the result of [change], which may be called more than once. */
    fun update(change: (ReplicaLoad) -> ReplicaLoad) {
        loadRef.updateAndGet(change)
    }

    /** Snapshot of the replica for a placement decision. */
    fun view(): ReplicaView = ReplicaView(slot, listed.id, listed.address, networkMs, load)
}
