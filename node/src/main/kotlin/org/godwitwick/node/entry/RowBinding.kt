package org.godwitwick.node.entry

import org.godwitwick.core.membership.RowTopic
import org.godwitwick.node.control.ControlThread
import org.godwitwick.node.control.PeerRows
import org.godwitwick.node.peer.RowExchange

/**
 * Publishes the rows of this instance periodically and passes received rows to the [PeerRows] of their kind.
 *
 * @property topicByRows the kinds of rows, each with the topic on which it is published.
 */
class RowBinding(
    private val control: ControlThread,
    private val rows: RowExchange,
    private val topicByRows: Map<PeerRows, RowTopic>,
    private val nowMs: () -> Long,
) {
    private val lastBodies = HashMap<PeerRows, ByteArray>()
    private val lastPublishedMs = HashMap<PeerRows, Long>()

    /** Subscribes to the topics and starts the periodic publication, both on the control thread. */
    fun start() {
        control.post {
            topicByRows.values.toSet().forEach { topic ->
                rows.onRow(topic) { row -> kindOf(topic, row.key.name)?.accept(row.key.owner, row.body, nowMs()) }
            }
        }
        control.every(PERIOD_MS) { topicByRows.forEach { (kind, topic) -> publish(kind, topic) } }
    }

    // An unchanged row is published again only when it has to be refreshed, which saves most of the traffic of idle instances.
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
        topicByRows.entries.firstOrNull { (kind, rowTopic) -> rowTopic == topic && kind.kind == name }?.key

    private companion object {
        const val PERIOD_MS = 500L

        /** Demand rows are considered stale after 3 s, so an unchanged row is refreshed well before that. */
        const val REFRESH_MS = 1_500L
    }
}
