package org.godwitwick.core.forward

import org.godwitwick.core.model.InstanceId

/**
 * The registered upstreams, folded from the store's records. Not thread safe.
 *
 * Registrations that lapse while the store is away say nothing about the upstream: it registers again once it reaches the store. Such
 * removals take effect only [LAPSE_GRACE_MS] after the store is back.
 */
class UpstreamDirectory {
    private val entries = HashMap<InstanceId, UpstreamEntry>()
    private val lapsed = HashMap<InstanceId, Long>()
    private var graceUntilMs = Long.MIN_VALUE

    /** Upstreams that may get new work, as of the last call of [expire]. */
    val usable: List<UpstreamEntry> get() = entries.values.filterNot { it.isLeaving }

    /** Notes that the store answers again at [nowMs] after an outage. */
    fun onStoreRegained(nowMs: Long) {
        graceUntilMs = nowMs + LAPSE_GRACE_MS
    }

    /** Replaces the registration of [id]; null when it was removed or can't be read. */
    fun onRecord(id: InstanceId, entry: UpstreamEntry?, nowMs: Long) {
        if (entry != null) {
            entries[id] = entry
            lapsed.remove(id)
            return
        }
        if (nowMs < graceUntilMs && id in entries) lapsed[id] = graceUntilMs else remove(id)
    }

    /** Replaces all registrations. */
    fun onSnapshot(all: Map<InstanceId, UpstreamEntry?>, nowMs: Long) {
        entries.keys.filterNot { it in all }.forEach { onRecord(it, null, nowMs) }
        all.forEach { (id, entry) -> onRecord(id, entry, nowMs) }
    }

    /** Drops the lapsed registrations whose grace has ended at [nowMs]. */
    fun expire(nowMs: Long) {
        lapsed.filterValues { it <= nowMs }.keys.toList().forEach(::remove)
    }

    private fun remove(id: InstanceId) {
        entries.remove(id)
        lapsed.remove(id)
    }

    companion object {
        /** Time in which live upstreams register again after an outage of the store, in milliseconds; stated by the platform. */
        const val LAPSE_GRACE_MS = 2_000L
    }
}
