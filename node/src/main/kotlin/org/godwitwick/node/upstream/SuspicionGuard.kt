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
 * Thread-safe access to the crash suspicions for traffic threads. It uses a lock instead of the control thread, so that a busy
 * control thread does not delay requests; each operation under the lock is short.
 */
class SuspicionGuard(self: InstanceId, private val broadcaster: SuspicionBroadcaster, firstVersion: Long = 1) {
    private val suspicions = SuspicionTable(self, firstVersion)
    private val placedRequests = ConcurrentHashMap<Fingerprint, RequestId>()

    /** The verdict on [fingerprint]. */
    fun verdict(fingerprint: Fingerprint, nowMs: Long): SuspicionVerdict =
        synchronized(suspicions) { suspicions.verdict(fingerprint, nowMs) }

    /** Engines that run a suspect other than [fingerprint]. */
    fun enginesOfOtherSuspects(fingerprint: Fingerprint): Set<InstanceId> =
        synchronized(suspicions) { suspicions.enginesOfOtherSuspects(fingerprint) }

    /**
     * Announces that [request], a suspect with [fingerprint], runs on [engine]. Returns false if the engine runs another suspect
     * or if a request with the same fingerprint is already running and has to end first.
     */
    fun tryPlace(fingerprint: Fingerprint, request: RequestId, engine: InstanceId): Boolean {
        if (placedRequests.putIfAbsent(fingerprint, request).let { it != null && it != request }) return false
        push { listOf(suspicions.place(fingerprint, engine)) }
        val mustYield = synchronized(suspicions) { suspicions.mustYield(fingerprint, engine) }
        if (mustYield) onEnd(fingerprint, request)
        return !mustYield
    }

    /** Called when the suspect [request] no longer runs on any engine. */
    fun onEnd(fingerprint: Fingerprint, request: RequestId) {
        if (placedRequests.remove(fingerprint, request)) push { listOf(suspicions.place(fingerprint, null)) }
    }

    /** Called when [request] has received its complete answer; clears the suspicion. */
    fun onSuccess(fingerprint: Fingerprint, request: RequestId, nowMs: Long) {
        placedRequests.remove(fingerprint, request)
        push { listOfNotNull(suspicions.onSuccess(fingerprint, nowMs)) }
    }

    /** Called when an engine died while running [inFlight]; [isAlone] is true if it ran a single request. */
    fun onDeath(death: EngineDeath, inFlight: Set<Fingerprint>, isAlone: Boolean, nowMs: Long) =
        push { suspicions.onDeath(death, inFlight, isAlone, nowMs) }

    /** Called when an engine died that ran no request of this instance. */
    fun onOtherDeath(death: EngineDeath) = push { suspicions.onOtherDeath(death) }

    /** Merges the [rows] received from a peer. */
    fun onPush(rows: List<SuspicionRow>) = synchronized(suspicions) { rows.forEach(suspicions::merge) }

    /** All rows reported by this instance, for a peer that joins. */
    fun ownRows(): List<SuspicionRow> = synchronized(suspicions) { suspicions.ownRows() }

    // Rows are pushed outside the lock, so that two instances in one process that push to each other cannot deadlock.
    private fun push(change: () -> List<SuspicionRow>) {
        val rows = synchronized(suspicions) { change() }
        if (rows.isNotEmpty()) broadcaster.push(rows)
    }
}
