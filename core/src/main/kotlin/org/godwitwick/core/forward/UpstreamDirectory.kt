package org.godwitwick.core.forward

import org.godwitwick.core.model.InstanceId

/**
 * The registered upstreams, built from the records of the store. Not thread safe.
 *
 * A registration that expires while the store is unavailable does not mean that the upstream is down: the upstream registers
 * again once it reaches the store. Such removals therefore take effect only [REMOVAL_GRACE_MS] after the store has recovered.
 *
 * A store that returns from an older copy has registrations that have been replaced since. They do not make an upstream usable
 * that is known to be leaving or to have left.
 */
class UpstreamDirectory {
    private val entries = HashMap<InstanceId, UpstreamEntry>()
    private val removed = HashMap<InstanceId, RemovedEntry>()
    private val pendingRemovals = HashMap<InstanceId, Long>()
    private var graceUntilMs = Long.MIN_VALUE

    private class RemovedEntry(val entry: UpstreamEntry, val atMs: Long)

    /** Upstreams that may receive new work, as of the last call of [expire]. */
    val usable: List<UpstreamEntry> get() = entries.values.filterNot { it.isLeaving }

    /** Records that the store answers again at [nowMs] after an outage. */
    fun onStoreRecovered(nowMs: Long) {
        graceUntilMs = nowMs + REMOVAL_GRACE_MS
    }

    /** Replaces the registration of [id] at [nowMs]; [entry] is null if it was removed or is unreadable. */
    fun onRecord(id: InstanceId, entry: UpstreamEntry?, nowMs: Long) {
        if (entry != null) {
            if (isOutdated(entry, nowMs)) return
            entries[id] = entry
            removed.remove(id)
            pendingRemovals.remove(id)
            return
        }
        if (nowMs < graceUntilMs && id in entries) pendingRemovals[id] = graceUntilMs else remove(id, nowMs)
    }

    // A process that is leaving never returns to work. Without a start time, an older registration can't be told from that of a new
    // process, so it is taken for old only while the store recovers.
    private fun isOutdated(entry: UpstreamEntry, nowMs: Long): Boolean {
        if (entry.startedAtMs == null && nowMs >= graceUntilMs) return false
        entries[entry.id]?.let { known -> return known.isSameProcess(entry) && known.isLeaving && !entry.isLeaving }
        val last = removed[entry.id]?.entry?.takeIf { it.isSameProcess(entry) } ?: return false
        if (last.isLeaving && !entry.isLeaving) return true
        return nowMs < graceUntilMs && entry.sequence != null && last.sequence != null && entry.sequence <= last.sequence
    }

    private fun UpstreamEntry.isSameProcess(other: UpstreamEntry) = processKey == other.processKey

    /** Replaces all registrations by [all] at [nowMs]; an entry is null if it is unreadable. */
    fun onSnapshot(all: Map<InstanceId, UpstreamEntry?>, nowMs: Long) {
        entries.keys.filterNot { it in all }.forEach { onRecord(it, null, nowMs) }
        all.forEach { (id, entry) -> onRecord(id, entry, nowMs) }
    }

    /** Executes the pending removals whose grace period has ended at [nowMs]. */
    fun expire(nowMs: Long) {
        pendingRemovals.filterValues { it <= nowMs }.keys.toList().forEach { remove(it, nowMs) }
        removed.values.removeAll { nowMs - it.atMs >= REMOVED_MEMORY_MS }
    }

    private fun remove(id: InstanceId, nowMs: Long) {
        entries.remove(id)?.let { removed[id] = RemovedEntry(it, nowMs) }
        pendingRemovals.remove(id)
    }

    companion object {
        /** Time within which running upstreams register again after an outage of the store; specified by the platform. */
        const val REMOVAL_GRACE_MS = 2_000L

        /** Older than any copy from which the store returns. */
        private const val REMOVED_MEMORY_MS = 120_000L
    }
}
