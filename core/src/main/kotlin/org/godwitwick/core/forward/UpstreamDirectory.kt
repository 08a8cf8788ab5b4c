package org.godwitwick.core.forward

import org.godwitwick.core.model.InstanceId

/**
 * The registered upstreams, built from the records of the store. Not thread safe.
 *
 * A registration that expires while the store is unavailable does not mean that the upstream is down: the upstream registers
 * again once it reaches the store. Such removals therefore take effect only [REMOVAL_GRACE_MS] after the store has recovered.
 */
class UpstreamDirectory {
    private val entries = HashMap<InstanceId, UpstreamEntry>()
    private val pendingRemovals = HashMap<InstanceId, Long>()
    private var graceUntilMs = Long.MIN_VALUE

    /** Upstreams that may receive new work, as of the last call of [expire]. */
    val usable: List<UpstreamEntry> get() = entries.values.filterNot { it.isLeaving }

    /** Records that the store answers again at [nowMs] after an outage. */
    fun onStoreRecovered(nowMs: Long) {
        graceUntilMs = nowMs + REMOVAL_GRACE_MS
    }

    /** Replaces the registration of [id] at [nowMs]; [entry] is null if it was removed or is unreadable. */
    fun onRecord(id: InstanceId, entry: UpstreamEntry?, nowMs: Long) {
        if (entry != null) {
            entries[id] = entry
            pendingRemovals.remove(id)
            return
        }
        if (nowMs < graceUntilMs && id in entries) pendingRemovals[id] = graceUntilMs else remove(id)
    }

    /** Replaces all registrations by [all] at [nowMs]; an entry is null if it is unreadable. */
    fun onSnapshot(all: Map<InstanceId, UpstreamEntry?>, nowMs: Long) {
        entries.keys.filterNot { it in all }.forEach { onRecord(it, null, nowMs) }
        all.forEach { (id, entry) -> onRecord(id, entry, nowMs) }
    }

    /** Executes the pending removals whose grace period has ended at [nowMs]. */
    fun expire(nowMs: Long) {
        pendingRemovals.filterValues { it <= nowMs }.keys.toList().forEach(::remove)
    }

    private fun remove(id: InstanceId) {
        entries.remove(id)
        pendingRemovals.remove(id)
    }

    companion object {
        /** Time within which running upstreams register again after an outage of the store; specified by the platform. */
        const val REMOVAL_GRACE_MS = 2_000L
    }
}
