package org.godwitwick.core.forward

import org.godwitwick.core.membership.rendezvousLowest
import org.godwitwick.core.model.InstanceId

/**
 * What one instance tells another of the limit of an upstream.
 *
 * @property upstream the upstream's process, see [UpstreamEntry.processKey].
 * @property perSecond requests a second that the upstream takes from all instances together, or null if it states no limit any more.
 * @property ageMs time since the upstream stated it.
 */
data class LimitNews(val upstream: String, val perSecond: Double?, val ageMs: Long)

/**
 * Keeps the sum of what all instances send to an upstream within the limit that it states.
 *
 * Answers the fault that an upstream in need states a rate for the whole fleet, while each instance knows only its own sends. An
 * equal share for each instance does not suffice: in a large fleet the first request of each instance alone exceeds a small limit.
 * A few instances, on which all agree, are therefore the senders of an upstream as long as it states a limit; each of them sends at
 * an equal fraction of the limit and none in advance. The others use other upstreams. An instance that does not know the fleet sends
 * nothing to such an upstream. Not thread safe.
 *
 * @param self this instance.
 */
class UpstreamLimits(private val self: InstanceId) {
    private class Limit(var perSecond: Double?, var statedAtMs: Long) {
        var nextSendMs = Long.MIN_VALUE

        /** Time at which this or another instance last told the others. */
        var toldAtMs = statedAtMs
        private var senders: Senders? = null

        fun senders(upstream: String, perSecond: Double, fleet: Collection<InstanceId>): Collection<InstanceId> {
            val known = senders?.takeIf { it.fleet === fleet && it.perSecond == perSecond }
            val current =
                known ?: Senders(fleet, perSecond, rendezvousLowest(upstream, fleet, senderCount(perSecond, fleet.size)))
            senders = current
            return current.ids
        }

        fun isInForce(nowMs: Long): Boolean = perSecond?.let { nowMs - statedAtMs <= lapseMs(it) } ?: false
    }

    private class Senders(val fleet: Collection<InstanceId>, val perSecond: Double, val ids: Collection<InstanceId>)

    private val limits = HashMap<String, Limit>()

    /** The limit that [upstream] last stated, in requests a second, or null if it stated none. */
    fun limitOf(upstream: String): Double? = limits[upstream]?.perSecond

    /** The processes of which something is known. */
    val known: Set<String> get() = limits.keys.toSet()

    /** Number of upstreams that state a limit. */
    val limitedCount: Int get() = limits.values.count { it.perSecond != null }

    /**
     * Records that an answer of [upstream] states the limit [perSecond], or none if null. Returns what to tell the other instances,
     * or null if they need not know.
     */
    fun onAnswer(upstream: String, perSecond: Double?, fleet: Collection<InstanceId>, nowMs: Long): LimitNews? {
        val known = limits[upstream]
        if (known == null && perSecond == null) return null
        val limit = limits.getOrPut(upstream) { Limit(null, nowMs) }
        val isChange = limit.perSecond != perSecond
        set(limit, perSecond, fleet, nowMs)
        if (!isChange && (perSecond == null || nowMs - limit.toldAtMs < renewalMs(limit.senders(upstream, perSecond, fleet)))) {
            return null
        }
        limit.toldAtMs = nowMs
        return LimitNews(upstream, perSecond, ageMs = 0)
    }

    /** Adds what another instance knows, unless this one knows something later. */
    fun onNews(news: LimitNews, fleet: Collection<InstanceId>, nowMs: Long) {
        val known = limits[news.upstream]
        val statedAtMs = nowMs - news.ageMs
        if (known != null && known.statedAtMs >= statedAtMs) return
        val limit = known ?: Limit(null, statedAtMs).also { limits[news.upstream] = it }
        set(limit, news.perSecond, fleet, nowMs)
        limit.statedAtMs = statedAtMs
        limit.toldAtMs = nowMs
    }

    // The senders renew in turn, so that one message tells all of them.
    private fun renewalMs(senders: Collection<InstanceId>): Long {
        val rank = senders.indexOf(self).takeIf { it >= 0 } ?: MAX_TURNS
        return RENEWAL_MS + TURN_MS * minOf(rank, MAX_TURNS)
    }

    // What was sent before the upstream stated its limit counts against it, so the first send waits like any other.
    private fun set(limit: Limit, perSecond: Double?, fleet: Collection<InstanceId>, nowMs: Long) {
        if (perSecond != null && limit.perSecond == null) limit.nextSendMs = nowMs + spacingMs(perSecond, fleet.size)
        limit.perSecond = perSecond
        limit.statedAtMs = nowMs
    }

    /**
     * Whether this instance may send a request to [upstream] now; always true if it states no limit.
     *
     * @param fleet all instances including this one; empty if they are not known.
     */
    fun maySend(upstream: String, fleet: Collection<InstanceId>, nowMs: Long): Boolean {
        val limit = limits[upstream]?.takeIf { it.isInForce(nowMs) } ?: return true
        return nowMs >= limit.nextSendMs && self in limit.senders(upstream, limit.perSecond ?: return true, fleet)
    }

    /** Records that this instance sends a request to [upstream]. */
    fun onSend(upstream: String, fleet: Collection<InstanceId>, nowMs: Long) {
        val limit = limits[upstream] ?: return
        limit.perSecond?.let { limit.nextSendMs = nowMs + spacingMs(it, fleet.size) }
    }

    /** Whether [upstream] states a limit at [nowMs]. */
    fun isLimited(upstream: String, nowMs: Long): Boolean = limits[upstream]?.isInForce(nowMs) ?: false

    /** Time until this instance may send to [upstream] at the earliest, or null if it is none of its senders. */
    fun waitMs(upstream: String, fleet: Collection<InstanceId>, nowMs: Long): Long? {
        if (maySend(upstream, fleet, nowMs)) return 0
        val limit = limits.getValue(upstream)
        val isSender = self in limit.senders(upstream, limit.perSecond ?: return 0, fleet)
        return if (isSender) limit.nextSendMs - nowMs else null
    }

    /** Forgets the upstreams that are not in [remembered]. */
    fun retain(remembered: Set<String>) {
        limits.keys.retainAll(remembered)
    }

    private companion object {
        const val MS_PER_SECOND = 1e3

        fun senderCount(perSecond: Double, fleetSize: Int): Int =
            minOf(fleetSize, perSecond.toInt() + EXTRA_SENDERS).coerceAtLeast(1)

        fun spacingMs(perSecond: Double, fleetSize: Int): Long = if (perSecond <= 0) {
            LAPSE_MS
        } else {
            (MS_PER_SECOND * senderCount(perSecond, fleetSize) / (perSecond * USED_FRACTION)).toLong()
        }

        // A small limit is stated as rarely as it allows requests.
        fun lapseMs(perSecond: Double): Long =
            if (perSecond <= 0) LAPSE_MS else maxOf(LAPSE_MS, (LAPSE_REQUESTS * MS_PER_SECOND / perSecond).toLong())

        /** The rest is left for instances that do not know yet which instances are the senders. */
        const val USED_FRACTION = 0.9

        /** More than one, so that a service whose upstreams all state small limits is reached through several instances. */
        const val EXTRA_SENDERS = 3

        /** Period in which a limit that goes on is told to the other instances again. */
        const val RENEWAL_MS = 1_000L

        /** Longer than a message between instances takes. */
        const val TURN_MS = 100L

        /** Bounds the time without a renewal when only the last senders have requests. */
        const val MAX_TURNS = 10

        /** A limit that is not stated any more lapses; several times the renewal, so that a lost message does not end it. */
        const val LAPSE_MS = 5_000L
        const val LAPSE_REQUESTS = 5
    }
}
