package org.godwitwick.node.entry

import org.godwitwick.core.membership.RowTopic
import org.godwitwick.node.control.ControlThread
import org.godwitwick.node.control.PeerRows
import org.godwitwick.node.peer.RowExchange

/** Publishes rows of the kinds in [kinds] every period and hands received ones to their kind. */
class RowBinding(
    private val control: ControlThread,
    private val rows: RowExchange,
    private val kinds: Map<PeerRows, RowTopic>,
    private val nowMs: () -> Long,
) {
    private val lastBodies = HashMap<PeerRows, ByteArray>()
    private val lastPublishedMs = HashMap<PeerRows, Long>()

    /** Starts the periodic publication on the control thread. */
    fun start() {
        control.post {
            kinds.values.toSet().forEach { topic ->
                rows.onRow(topic) { row -> kindOf(topic, row.key.name)?.accept(row.key.owner, row.body, nowMs()) }
            }
        }
        control.every(PERIOD_MS) { kinds.forEach { (kind, topic) -> publish(kind, topic) } }
    }

    // An unchanged row is published again only to stay fresh, which saves most of the bytes of quiet instances.
    private fun publish(kind: PeerRows, topic: RowTopic) {
        val now = nowMs()
        val body = kind.encode(now)
        val isSame = lastBodies[kind]?.contentEquals(body) == true
        if (isSame && now - lastPublishedMs.getValue(kind) < REFRESH_MS) return
        lastBodies[kind] = body
        lastPublishedMs[kind] = now
        rows.publish(topic, kind.kind, body)
    }

    private fun kindOf(topic: RowTopic, name: String): PeerRows? =
        kinds.entries.firstOrNull { (kind, of) -> of == topic && kind.kind == name }?.key

    private companion object {
        const val PERIOD_MS = 500L

        /** Demand rows count as stale after 3 s, so a row is refreshed well before. */
        const val REFRESH_MS = 1_500L
    }
}
