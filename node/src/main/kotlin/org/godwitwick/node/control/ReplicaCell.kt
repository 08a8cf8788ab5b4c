package org.godwitwick.node.control

import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.placement.ReplicaLoad
import org.godwitwick.core.placement.ReplicaView
import java.util.concurrent.atomic.AtomicReference

/**
 * One replica in the directory. The load is an immutable value that is replaced atomically, so that work that one traffic thread
 * sends is seen by the next decision of another without waiting for the control thread.
 */
class ReplicaCell(val slot: Int, val listed: ListedInstance, private val networkMs: Double) {
    private val loadRef = AtomicReference(ReplicaLoad())

    /** Present load. */
    val load: ReplicaLoad get() = loadRef.get()

    /** Whether the replica may receive new work. */
    @Volatile
    var isOpen: Boolean = true

    /** Replaces the load by what [change] makes of it. */
    fun update(change: (ReplicaLoad) -> ReplicaLoad) {
        loadRef.updateAndGet(change)
    }

    /** The replica as a decision sees it. */
    fun view(): ReplicaView = ReplicaView(slot, listed.id, listed.address, networkMs, load)
}
