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
 * nothing to such an upstream.
 *
 * A cold upstream is one that states the rate of its service until its cold time is over, see [ColdRate]: its limit neither lapses
 * before nor outlives that time. Not thread safe.
 *
 * @param self this instance.
 */
class UpstreamLimits(private val self: InstanceId) {
    private class Limit(var perSecond: Double?, var statedAtMs: Long) {
        var nextSendMs = Long.MIN_VALUE

        /** Time at which this or another instance last told the others. */
        var toldAtMs = statedAtMs
        private var senders: Senders? = null

        /** Present while the upstream is cold. */
        var cold: Cold? = null

        fun senders(upstream: String, rate: SendRate, fleet: Collection<InstanceId>): List<InstanceId> {
            val known = senders?.takeIf { it.fleet === fleet && it.rate == rate }
            val current = known ?: Senders(fleet, rate, rendezvousLowest(upstream, fleet, rate.senderCount(fleet.size)))
            senders = current
            return current.ids
        }

        /** The rate in force at [nowMs], or null if there is no limit. */
        fun rateAt(nowMs: Long): SendRate? {
            val stated = perSecond?.takeIf { isInForce(nowMs) }
            val cold = cold?.takeIf { nowMs < it.untilMs }?.rate ?: return stated?.let(::StatedRate)
            return if (stated != null && stated < cold.perSecond) cold.copy(perSecond = stated) else cold
        }

        fun isInForce(nowMs: Long): Boolean = perSecond?.let { nowMs - statedAtMs <= lapseMs(it) } ?: false
    }

    private class Senders(val fleet: Collection<InstanceId>, val rate: SendRate, val ids: List<InstanceId>)

    private class Cold(val rate: ColdRate, val untilMs: Long)

    private val limits = HashMap<String, Limit>()

    /** The limit that [upstream] last stated, in requests a second, or null if it stated none. */
    fun limitOf(upstream: String): Double? = limits[upstream]?.perSecond

    /** The processes of which something is known. */
    val known: Set<String> get() = limits.keys.toSet()

    /** Number of upstreams that state a limit or are cold. */
    val limitedCount: Int get() = limits.values.count { it.perSecond != null || it.cold != null }

    /** Number of upstreams that are cold, as of the last call of [expire]. */
    val coldCount: Int get() = limits.values.count { it.cold != null }

    /** What to tell other instances of the limit that [upstream] last stated, apart from being cold. */
    fun newsOf(upstream: String, nowMs: Long): LimitNews {
        val limit = limits[upstream]?.takeIf { it.statedAtMs != NEVER_MS } ?: return LimitNews(upstream, null, UNKNOWN_AGE_MS)
        return LimitNews(upstream, limit.perSecond, nowMs - limit.statedAtMs)
    }

    /**
     * Records that [upstream] is cold at [rate] until [untilMs], or not any more if that time has passed.
     *
     * @param isFresh whether no instance can have sent it anything just before; otherwise the first send waits like any other.
     */
    fun onCold(upstream: String, rate: ColdRate, untilMs: Long, isFresh: Boolean, fleet: Collection<InstanceId>, nowMs: Long) {
        if (untilMs <= nowMs) {
            limits[upstream]?.cold = null
            return
        }
        val limit = limits.getOrPut(upstream) { Limit(null, NEVER_MS) }
        val wasLimited = limit.rateAt(nowMs) != null
        limit.cold = Cold(rate, untilMs)
        if (wasLimited) return
        val spacingMs = rate.spacingMs(fleet.size)
        // The senders learn of a cold upstream at about the same moment, so their first sends are spread over one spacing.
        val rank = limit.senders(upstream, rate, fleet).indexOf(self).coerceAtLeast(0)
        val staggerMs = spacingMs * rank / rate.senderCount(fleet.size)
        val firstMs = if (isFresh) staggerMs else maxOf(spacingMs, MIN_FIRST_WAIT_MS) + staggerMs
        limit.nextSendMs = maxOf(limit.nextSendMs, nowMs + firstMs)
    }

    /** Whether [upstream] is cold at [nowMs]. */
    fun isCold(upstream: String, nowMs: Long): Boolean = limits[upstream]?.cold?.let { nowMs < it.untilMs } ?: false

    /** Forgets at [nowMs] the cold times that are over. */
    fun expire(nowMs: Long) {
        limits.values.forEach { limit -> if (limit.cold?.let { it.untilMs <= nowMs } == true) limit.cold = null }
        limits.values.removeAll { it.cold == null && it.statedAtMs == NEVER_MS }
    }

    /**
     * Records that an answer of [upstream] states the limit [perSecond], or none if null. Returns what to tell the other instances,
     * or null if they need not know.
     */
    fun onAnswer(upstream: String, perSecond: Double?, fleet: Collection<InstanceId>, nowMs: Long): LimitNews? {
        val known = limits[upstream]
        if (perSecond == null && (known == null || known.statedAtMs == NEVER_MS)) return null
        val limit = limits.getOrPut(upstream) { Limit(null, nowMs) }
        val isChange = limit.perSecond != perSecond
        set(limit, perSecond, fleet, nowMs)
        if (!isChange &&
            (perSecond == null || nowMs - limit.toldAtMs < renewalMs(limit.senders(upstream, StatedRate(perSecond), fleet)))
        ) {
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
        if (perSecond != null && limit.perSecond == null) limit.nextSendMs = nowMs + StatedRate(perSecond).spacingMs(fleet.size)
        limit.perSecond = perSecond
        limit.statedAtMs = nowMs
    }

    /**
     * Whether this instance may send a request to [upstream] now; always true if it states no limit.
     *
     * @param fleet all instances including this one; empty if they are not known.
     */
    fun maySend(upstream: String, fleet: Collection<InstanceId>, nowMs: Long): Boolean {
        val limit = limits[upstream] ?: return true
        val rate = limit.rateAt(nowMs) ?: return true
        return nowMs >= limit.nextSendMs && self in limit.senders(upstream, rate, fleet)
    }

    /** Records that this instance sends a request to [upstream]. */
    fun onSend(upstream: String, fleet: Collection<InstanceId>, nowMs: Long) {
        val limit = limits[upstream] ?: return
        val rate = limit.rateAt(nowMs) ?: limit.perSecond?.let(::StatedRate) ?: return
        limit.nextSendMs = nowMs + rate.spacingMs(fleet.size)
    }

    /** Whether [upstream] states a limit or is cold at [nowMs]. */
    fun isLimited(upstream: String, nowMs: Long): Boolean = limits[upstream]?.rateAt(nowMs) != null

    /** Time until this instance may send to [upstream] at the earliest, or null if that is not known: it is none of the senders. */
    fun waitMs(upstream: String, fleet: Collection<InstanceId>, nowMs: Long): Long? {
        if (maySend(upstream, fleet, nowMs)) return 0
        val limit = limits.getValue(upstream)
        if (fleet.isEmpty()) return null
        val isSender = self in limit.senders(upstream, limit.rateAt(nowMs) ?: return 0, fleet)
        val nextMs = if (isSender) limit.nextSendMs - nowMs else null
        // Without a stated limit any instance may send once the upstream is not cold any more.
        val coldMs = limit.cold?.takeUnless { limit.isInForce(nowMs) }?.let { it.untilMs - nowMs }
        return listOfNotNull(nextMs, coldMs).minOrNull()
    }

    /** Forgets the upstreams that are not in [remembered]. */
    fun retain(remembered: Set<String>) {
        limits.keys.retainAll(remembered)
    }

    private companion object {
        const val MS_PER_SECOND = 1e3

        // A small limit is stated as rarely as it allows requests.
        fun lapseMs(perSecond: Double): Long =
            if (perSecond <= 0) LAPSE_MS else maxOf(LAPSE_MS, (LAPSE_REQUESTS * MS_PER_SECOND / perSecond).toLong())

        /** Stands for the time of a statement that was never made. */
        const val NEVER_MS = Long.MIN_VALUE / 2

        /** Age of what is told of a limit that was never stated, so that it replaces nothing that another instance knows. */
        const val UNKNOWN_AGE_MS = 3_600_000L

        /** An instance that has just started does not know when it sent last before. */
        const val MIN_FIRST_WAIT_MS = 1_000L

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
