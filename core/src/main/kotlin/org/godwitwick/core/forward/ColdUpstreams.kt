package org.godwitwick.core.forward

import org.godwitwick.core.model.InstanceId

/**
 * What a service states about its upstreams that have just started.
 *
 * @property startMs time for which an upstream is cold after a start during traffic.
 * @property perSecond requests a second that a cold upstream accepts from all instances together.
 */
data class ColdStart(val startMs: Long, val perSecond: Double)

/** Why an upstream is taken for cold. */
enum class ColdCause { REGISTRATION, ANSWER, NEW_PROCESS, EVACUATION_ENDED }

/**
 * That [upstream], a process, is cold until [untilMs] because of [cause]; it is not cold any more if that time has passed.
 *
 * @property isFresh whether no instance can have sent it anything just before.
 */
data class ColdChange(val upstream: String, val service: String, val untilMs: Long, val cause: ColdCause, val isFresh: Boolean)

/**
 * Decides which upstreams are cold and until when.
 *
 * Answers the load pattern in which upstreams that have just started, or whose data centre returns, get their usual share of the
 * traffic at once and crash. A process is cold by its own statement, in its registration or an answer, or by inference: it was not
 * registered before while its service was known, or the evacuation of its data centre has ended. What was registered in the first
 * list that this instance reads is not new, nor is a process whose registration lapses and returns. Not thread safe.
 */
class ColdUpstreams {
    private class Registered(val entry: UpstreamEntry, var seenAtMs: Long)

    private class State(val untilMs: Long, val cause: ColdCause, val sinceMs: Long)

    private val registered = HashMap<InstanceId, Registered>()
    private val services = HashSet<String>()
    private val states = HashMap<String, State>()

    /** Whether nothing is known to be cold or to have been so lately. */
    val isEmpty: Boolean get() = states.isEmpty()

    /**
     * Updates the registered upstreams to [entries] at [nowMs].
     *
     * @param startMsOf returns [ColdStart.startMs] of a service, or null if its upstreams are never cold.
     */
    fun onRegistered(entries: List<UpstreamEntry>, startMsOf: (String) -> Long?, nowMs: Long): List<ColdChange> {
        val changes = ArrayList<ColdChange>()
        val present = HashSet<String>()
        for (entry in entries) {
            val startMs = startMsOf(entry.service) ?: continue
            present += entry.service
            val known = registered[entry.id]
            known?.seenAtMs = nowMs
            if (known?.entry === entry || isOutdated(entry, known?.entry)) continue
            registered[entry.id] = Registered(entry, nowMs)
            val change = if (known?.entry?.processKey == entry.processKey) {
                onRenewal(entry, known.entry.coldRemainingMs, nowMs)
            } else {
                onProcess(entry, startMs, nowMs)
            }
            change?.let(changes::add)
        }
        services += present
        registered.values.removeAll { nowMs - it.seenAtMs > FORGET_MS }
        states.values.removeAll { nowMs - it.untilMs > REGISTRATION_LAG_MS }
        return changes
    }

    // A store that returns from an older copy has registrations of earlier processes, and earlier ones of the same process.
    private fun isOutdated(entry: UpstreamEntry, known: UpstreamEntry?): Boolean {
        if (known == null) return false
        if (known.processKey != entry.processKey) return (entry.startedAtMs ?: return false) < (known.startedAtMs ?: return false)
        return known.sequence != null && entry.sequence != null && entry.sequence <= known.sequence
    }

    private fun onProcess(entry: UpstreamEntry, startMs: Long, nowMs: Long): ColdChange? {
        val isNew = entry.service in services
        val statedMs = (entry.coldRemainingMs ?: 0).coerceAtMost(MAX_COLD_MS)
        return when {
            statedMs > 0 -> set(entry, nowMs + statedMs, ColdCause.REGISTRATION, isNew, nowMs)

            isNew && startMs > 0 -> set(
                entry,
                nowMs + startMs.coerceAtMost(MAX_COLD_MS),
                ColdCause.NEW_PROCESS,
                isFresh = true,
                nowMs,
            )

            else -> null
        }
    }

    // The age of a registration is not known, so what it states is an upper bound of the remaining time, unless the upstream has become
    // cold again.
    private fun onRenewal(entry: UpstreamEntry, previousMs: Long?, nowMs: Long): ColdChange? {
        val statedMs = entry.coldRemainingMs?.coerceAtMost(MAX_COLD_MS) ?: return null
        val state = states[entry.processKey]
        val untilMs = nowMs + statedMs
        if (statedMs == 0L) {
            val mayEnd = when (state?.cause) {
                ColdCause.REGISTRATION -> true
                ColdCause.EVACUATION_ENDED -> nowMs - state.sinceMs >= REGISTRATION_LAG_MS
                ColdCause.ANSWER, ColdCause.NEW_PROCESS, null -> false
            }
            return if (mayEnd) set(entry, nowMs, ColdCause.REGISTRATION, isFresh = false, nowMs) else null
        }
        val isAgain = when (state?.cause) {
            ColdCause.REGISTRATION, null -> previousMs == null || statedMs > previousMs
            ColdCause.ANSWER -> untilMs > state.untilMs + REGISTRATION_LAG_MS
            ColdCause.NEW_PROCESS, ColdCause.EVACUATION_ENDED -> true
        }
        if (!isAgain && (state == null || state.untilMs <= untilMs)) return null
        return set(entry, untilMs, if (isAgain) ColdCause.REGISTRATION else state?.cause ?: return null, isFresh = false, nowMs)
    }

    /** Records at [nowMs] that the evacuation of the data centres of [entries] has ended. */
    fun onEvacuationEnded(entries: List<UpstreamEntry>, startMsOf: (String) -> Long?, nowMs: Long): List<ColdChange> =
        entries.mapNotNull { entry ->
            val untilMs = nowMs + (startMsOf(entry.service) ?: return@mapNotNull null).coerceAtMost(MAX_COLD_MS)
            if (untilMs <= (states[entry.processKey]?.untilMs ?: nowMs)) return@mapNotNull null
            set(entry, untilMs, ColdCause.EVACUATION_ENDED, isFresh = true, nowMs)
        }

    /**
     * Records that an answer of the process [upstream] states that it stays cold for [remainingMs]. Returns null if that is known
     * already.
     */
    fun onAnswer(upstream: String, service: String, remainingMs: Long, nowMs: Long): ColdChange? {
        val untilMs = nowMs + remainingMs.coerceAtMost(MAX_COLD_MS)
        val knownMs = states[upstream]?.untilMs ?: nowMs
        val isKnown = if (remainingMs == 0L) knownMs <= nowMs else knownMs - untilMs in -TOLERANCE_MS..TOLERANCE_MS
        if (isKnown) return null
        return set(upstream, service, untilMs, ColdCause.ANSWER, isFresh = false, nowMs)
    }

    private fun set(entry: UpstreamEntry, untilMs: Long, cause: ColdCause, isFresh: Boolean, nowMs: Long) =
        set(entry.processKey, entry.service, untilMs, cause, isFresh, nowMs)

    private fun set(
        upstream: String,
        service: String,
        untilMs: Long,
        cause: ColdCause,
        isFresh: Boolean,
        nowMs: Long,
    ): ColdChange {
        states[upstream] = State(untilMs, cause, nowMs)
        return ColdChange(upstream, service, untilMs, cause, isFresh)
    }

    private companion object {
        /** Time within which a written registration is read; what is read earlier may have been written before an event. */
        const val REGISTRATION_LAG_MS = 3_000L

        /** A longer time is taken for a fault of the upstream or the configuration. */
        const val MAX_COLD_MS = 600_000L

        /** Differences between statements that come from the way of an answer. */
        const val TOLERANCE_MS = 200L

        /** Longer than any outage after which the same processes register again. */
        const val FORGET_MS = 3_600_000L
    }
}
