package org.godwitwick.node.upstream

import org.godwitwick.core.health.EngineDeath
import org.godwitwick.core.health.Fingerprint
import org.godwitwick.core.health.SuspicionRow
import org.godwitwick.core.health.SuspicionTable
import org.godwitwick.core.health.SuspicionVerdict
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.RequestId
import java.util.concurrent.ConcurrentHashMap

/**
 * The crash suspicions as traffic threads use them. Guarded by a lock and not by the control thread, so that a busy control thread
 * delays no request; each operation is short.
 */
class SuspicionGuard(self: InstanceId, private val share: SuspicionShare, firstVersion: Long = 1) {
    private val book = SuspicionTable(self, firstVersion)
    private val placed = ConcurrentHashMap<Fingerprint, RequestId>()

    /** The verdict on [fingerprint]. */
    fun verdict(fingerprint: Fingerprint, nowMs: Long): SuspicionVerdict = synchronized(book) { book.verdict(fingerprint, nowMs) }

    /** Engines on which another suspect than [fingerprint] runs. */
    fun enginesOfOtherSuspects(fingerprint: Fingerprint): Set<InstanceId> =
        synchronized(book) { book.enginesOfOtherSuspects(fingerprint) }

    /**
     * Announces that [request], a suspect with [fingerprint], runs on [engine]; false when another suspect has the engine or an
     * equal request runs already, which must end first.
     */
    fun tryPlace(fingerprint: Fingerprint, request: RequestId, engine: InstanceId): Boolean {
        if (placed.putIfAbsent(fingerprint, request).let { it != null && it != request }) return false
        push { listOf(book.place(fingerprint, engine)) }
        val isLost = synchronized(book) { book.mustYield(fingerprint, engine) }
        if (isLost) onEnd(fingerprint, request)
        return !isLost
    }

    /** The suspect [request] runs on no engine any more. */
    fun onEnd(fingerprint: Fingerprint, request: RequestId) {
        if (placed.remove(fingerprint, request)) push { listOf(book.place(fingerprint, null)) }
    }

    /** [request] got its whole answer. */
    fun onSuccess(fingerprint: Fingerprint, request: RequestId, nowMs: Long) {
        placed.remove(fingerprint, request)
        push { listOfNotNull(book.onSuccess(fingerprint, nowMs)) }
    }

    /** An engine died with [inFlight] on it. */
    fun onDeath(death: EngineDeath, inFlight: Set<Fingerprint>, isAlone: Boolean, nowMs: Long) =
        push { book.onDeath(death, inFlight, isAlone, nowMs) }

    /** An engine died that ran no request of this instance. */
    fun onOtherDeath(death: EngineDeath) = push { book.onOtherDeath(death) }

    /** Takes over a peer's [rows]. */
    fun onPush(rows: List<SuspicionRow>) = synchronized(book) { rows.forEach(book::merge) }

    /** All own rows, for a peer that joins. */
    fun ownRows(): List<SuspicionRow> = synchronized(book) { book.ownRows() }

    // The push runs outside the lock, so that two instances that push to each other in one process can't block each other.
    private fun push(change: () -> List<SuspicionRow>) {
        val rows = synchronized(book) { change() }
        if (rows.isNotEmpty()) share.push(rows)
    }
}
