package org.godwitwick.node.forward

import org.godwitwick.core.forward.ColdChange
import org.godwitwick.core.forward.ColdRate
import org.godwitwick.core.forward.LimitNews
import org.godwitwick.core.forward.Placement
import org.godwitwick.core.forward.UpstreamAbsences
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.core.forward.UpstreamLimits
import org.godwitwick.core.forward.UpstreamList
import org.godwitwick.core.forward.UpstreamMemory
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.peer.StatementRow
import org.slf4j.LoggerFactory

/**
 * What upstreams have stated about themselves, in answers to this instance and to others.
 *
 * @param fleet returns all instances including this one; empty if they are not known.
 * @param send sends a statement to the other instances.
 */
class UpstreamStatements(
    self: InstanceId,
    private val fleet: () -> Collection<InstanceId>,
    private val nowMs: () -> Long,
    private val send: (StatementRow) -> Unit,
) {
    private val limits = UpstreamLimits(self)
    private val absences = UpstreamAbsences()
    private val memory = UpstreamMemory()

    /** Number of upstreams that state a limit or are cold. */
    val limitedCount: Int @Synchronized get() = limits.limitedCount

    /** Number of upstreams that are cold. */
    val coldCount: Int @Synchronized get() = limits.coldCount

    /** Number of upstreams that have stated that they are leaving. */
    val leavingCount: Int @Synchronized get() = absences.leavingCount

    /** Records what [upstream] stated in an answer to this instance. */
    fun onAnswer(upstream: UpstreamEntry, statement: UpstreamStatement) {
        if (statement.isLeaving && recordLeaving(upstream.processKey, "an answer to this instance")) {
            send(StatementRow(upstream.processKey, limitPerS = null, ageMs = 0, isLeaving = true))
        }
        statement.waitMs?.let { recordWait(upstream.processKey, it) }
        val news =
            record(upstream.processKey) { limits.onAnswer(upstream.processKey, statement.limitPerS, fleet(), nowMs()) } ?: return
        send(StatementRow(news.upstream, news.perSecond, news.ageMs))
    }

    /** Records what another instance was told. */
    fun onRow(row: StatementRow) {
        if (row.isLeaving) {
            recordLeaving(row.upstream, "another instance")
        } else {
            record(row.upstream) { limits.onNews(LimitNews(row.upstream, row.limitPerS, row.ageMs), fleet(), nowMs()) }
        }
    }

    @Synchronized
    private fun recordLeaving(upstream: String, source: String): Boolean = absences.onLeaving(upstream).also { isNew ->
        if (isNew) log.info("upstream: {} states that it is leaving and gets no new work; known from {}", upstream, source)
    }

    @Synchronized
    private fun recordWait(upstream: String, waitMs: Long) {
        absences.onWait(upstream, waitMs, nowMs())
        log.info("upstream: {} wants no requests of this instance for {} ms", upstream, waitMs)
    }

    @Synchronized
    private fun <T> record(upstream: String, change: () -> T): T {
        val before = limits.limitOf(upstream)
        val result = change()
        val after = limits.limitOf(upstream)
        if (before != after) log.info("upstream: {} states a limit of {} requests a second; before: {}", upstream, after, before)
        return result
    }

    /** Applies [change], for an upstream that takes [rate] while it is cold. */
    @Synchronized
    fun onCold(change: ColdChange, rate: ColdRate) =
        limits.onCold(change.upstream, rate, change.untilMs, change.isFresh, fleet(), nowMs())

    /** What to tell other instances of the limit that the process [upstream] has stated. */
    @Synchronized
    fun limitNewsOf(upstream: String): LimitNews = limits.newsOf(upstream, nowMs())

    /**
     * Takes the right to send a request as [placement] says; returns the upstreams that don't allow that, in which case nothing is
     * taken. A cold helper counts like a cold upstream, since it gets a part of the work at once.
     */
    @Synchronized
    fun tryTake(placement: Placement): List<UpstreamEntry> {
        val isTaken = { if (tryTake(placement.upstream)) emptyList() else listOf(placement.upstream) }
        if (placement.helpers.isEmpty() || limits.coldCount == 0) return isTaken()
        val now = nowMs()
        val cold = placement.helpers.map { it.upstream }.filter { limits.isCold(it.processKey, now) }
        val refusing = cold.filterNot { limits.maySend(it.processKey, fleet(), now) }
        if (refusing.isNotEmpty()) return refusing
        return isTaken().also { if (it.isEmpty()) cold.forEach { helper -> limits.onSend(helper.processKey, fleet(), now) } }
    }

    /** Takes the right to send one request to [upstream] now; returns false if its limit does not allow that. */
    @Synchronized
    fun tryTake(upstream: UpstreamEntry): Boolean {
        val now = nowMs()
        val isAllowed = isOpen(upstream.processKey, now)
        if (isAllowed) limits.onSend(upstream.processKey, fleet(), now)
        return isAllowed
    }

    /** Those of [candidates] that take a request now, by what they have stated. */
    @Synchronized
    fun open(candidates: UpstreamList): UpstreamList {
        val now = nowMs()
        return candidates.without(known().filterNot { isOpen(it, now) })
    }

    private fun isOpen(process: String, now: Long): Boolean =
        absences.waitMs(process, now) == 0L && limits.maySend(process, fleet(), now)

    // The few upstreams that have stated something are looked at instead of all that are registered.
    private fun known(): Set<String> = limits.known + absences.known

    /** Those of [candidates] that have not stated that they are leaving. */
    @Synchronized
    fun present(candidates: UpstreamList): UpstreamList {
        if (absences.leavingCount == 0) return candidates
        return candidates.without(absences.known.filterNot(absences::isPresent))
    }

    /** Those of [candidates] that state no limit and are not cold. */
    @Synchronized
    fun unlimited(candidates: UpstreamList): UpstreamList {
        if (limits.limitedCount == 0) return candidates
        val now = nowMs()
        return candidates.without(limits.known.filter { limits.isLimited(it, now) })
    }

    /** Times until [upstreams] take a request of this instance, in milliseconds and ascending order, as far as they are known. */
    @Synchronized
    fun waitsMs(upstreams: List<UpstreamEntry>): List<Long> {
        val now = nowMs()
        return upstreams.mapNotNull { upstream ->
            limits.waitMs(upstream.processKey, fleet(), now)?.let { maxOf(it, absences.waitMs(upstream.processKey, now)) }
        }.sorted()
    }

    /** Forgets the upstreams that have not been among [registered] for some time. Call it regularly. */
    @Synchronized
    fun retain(registered: Collection<UpstreamEntry>) {
        limits.expire(nowMs())
        val known = known()
        if (known.isEmpty()) return
        val remembered = memory.remembered(known, registered.mapTo(HashSet()) { it.processKey }, nowMs())
        limits.retain(remembered)
        absences.retain(remembered)
    }

    private companion object {
        val log = LoggerFactory.getLogger(UpstreamStatements::class.java)
    }
}
