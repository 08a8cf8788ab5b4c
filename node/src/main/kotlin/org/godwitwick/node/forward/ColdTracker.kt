package org.godwitwick.node.forward

import org.godwitwick.core.forward.ColdBound
import org.godwitwick.core.forward.ColdChange
import org.godwitwick.core.forward.ColdRate
import org.godwitwick.core.forward.ColdUpstreams
import org.godwitwick.core.forward.RoutingTable
import org.godwitwick.core.forward.UpstreamEntry
import org.godwitwick.node.peer.StatementRow
import org.slf4j.LoggerFactory

/**
 * Learns which upstreams are cold, limits what is sent to them, and tells the other instances what answers state.
 *
 * @param table returns the routing table in force.
 * @param send sends a statement to the other instances.
 */
class ColdTracker(
    private val statements: UpstreamStatements,
    private val bound: ColdBound,
    private val table: () -> RoutingTable?,
    private val nowMs: () -> Long,
    private val send: (StatementRow) -> Unit,
) {
    private val upstreams = ColdUpstreams()

    /**
     * Updates the [registered] upstreams; the evacuations of the data centres [returned] have ended. [newest] is the table that is in
     * force or about to be, so that no request is sent before the limits are known.
     */
    fun onRegistered(registered: List<UpstreamEntry>, returned: Set<String>, newest: RoutingTable?) {
        val table = newest?.takeIf { it.hasColdStarts } ?: return
        val startMsOf = { service: String -> table.serviceOf(service)?.cold?.startMs }
        val now = nowMs()
        val changes = synchronized(this) {
            val byRegistration = upstreams.onRegistered(registered, startMsOf, now)
            if (returned.isEmpty()) return@synchronized byRegistration
            byRegistration + upstreams.onEvacuationEnded(registered.filter { it.dataCentre in returned }, startMsOf, now)
        }
        changes.forEach { change -> table.serviceOf(change.service)?.cold?.let { apply(change, it.perSecond) } }
        report(changes, now)
    }

    /** Records what an answer of [upstream] to this instance states. */
    fun onAnswer(upstream: UpstreamEntry, statement: UpstreamStatement) {
        val coldMs = statement.coldMs ?: return
        val perSecond = table()?.serviceOf(upstream.service)?.cold?.perSecond ?: return
        if (!onStatement(upstream.processKey, upstream.service, coldMs, perSecond)) return
        val limit = statements.limitNewsOf(upstream.processKey)
        send(StatementRow(upstream.processKey, limit.perSecond, limit.ageMs, coldMs = coldMs, coldPerS = perSecond))
    }

    /** Records what another instance was told. */
    fun onRow(row: StatementRow) {
        val coldMs = row.coldMs ?: return
        if (row.coldPerS > 0 && row.coldPerS.isFinite()) onStatement(row.upstream, "", coldMs, row.coldPerS)
    }

    private fun onStatement(upstream: String, service: String, coldMs: Long, perSecond: Double): Boolean {
        val now = nowMs()
        val change = synchronized(this) { upstreams.onAnswer(upstream, service, coldMs.coerceAtLeast(0), now) } ?: return false
        apply(change, perSecond)
        report(listOf(change), now)
        return true
    }

    private fun apply(change: ColdChange, perSecond: Double) = statements.onCold(change, ColdRate(perSecond, bound))

    private fun report(changes: List<ColdChange>, now: Long) {
        changes.take(MAX_LOGGED).forEach {
            val remainingMs = (it.untilMs - now).coerceAtLeast(0)
            log.info("upstream: {} is cold for {} ms more; known from: {}", it.upstream, remainingMs, it.cause)
        }
        if (changes.size > MAX_LOGGED) log.info("upstream: {} further upstreams are cold", changes.size - MAX_LOGGED)
    }

    private companion object {
        /** Bounds the log lines of one event, such as the end of an evacuation. */
        const val MAX_LOGGED = 20
        val log = LoggerFactory.getLogger(ColdTracker::class.java)
    }
}
