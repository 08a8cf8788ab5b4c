package org.godwitwick.node.peer

import com.github.michaelbull.result.get
import org.godwitwick.core.membership.Member
import org.godwitwick.core.membership.MemberState
import org.godwitwick.core.membership.RowKey
import org.godwitwick.core.membership.RowReach
import org.godwitwick.core.membership.RowTable
import org.godwitwick.core.membership.RowTopic
import org.godwitwick.core.membership.VersionedRow
import org.godwitwick.core.membership.delegatesOf
import org.godwitwick.core.membership.rowVersion
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.control.ControlThread
import kotlin.random.Random

/**
 * Stores the rows known to this instance and exchanges them every 500 ms with 3 random peers of its data centre. A delegate also
 * exchanges them with random delegates of 3 other data centres. Used on the control thread only.
 */
class RowStore(
    private val self: Peer,
    private val incarnation: Long,
    private val transport: AsyncPeers,
    private val members: () -> List<Member>,
    private val control: ControlThread,
    private val monotonicMs: () -> Long,
    private val random: Random,
) : RowExchange {
    private val table = RowTable()
    private val listeners = HashMap<RowTopic, MutableList<(VersionedRow) -> Unit>>()
    private var nextVersion = 0L

    override fun publish(topic: RowTopic, name: String, body: ByteArray) {
        publishRow(topic, name, body)
    }

    override fun publishUrgent(topic: RowTopic, name: String, body: ByteArray) {
        val row = publishRow(topic, name, body)
        val push = RowPush(listOf(row.toWire(monotonicMs())), isUrgent = true)
        localPeers().filter { it.state != MemberState.SILENT }.forEach { transport.send(it.id, push) }
        if (topic.reach == RowReach.FLEET) remoteDelegates().forEach { (_, ids) -> transport.send(ids.first(), push) }
    }

    override fun rows(topic: RowTopic): List<VersionedRow> = table.ofTopic(topic)

    override fun onRow(topic: RowTopic, listener: (VersionedRow) -> Unit) {
        listeners.getOrPut(topic) { ArrayList() }.add(listener)
    }

    /** Runs one round of exchanges. */
    fun exchange() {
        table.expire(monotonicMs())
        localPeers().shuffled(random).take(FANOUT).forEach { exchangeWith(it.id, RowReach.DATA_CENTRE) }
        if (self.id !in delegatesOf(self.dataCentre, members())) return
        remoteDelegates().values.toList().shuffled(random).take(FANOUT)
            .forEach { exchangeWith(it.random(random), RowReach.FLEET) }
    }

    /** Returns the answer to the exchange [message] of a peer, or null if the message is malformed. */
    fun answer(message: Exchange): ExchangeAnswer? {
        val answer = table.answer(message.digest() ?: return null, message.reach)
        return ExchangeAnswer(toWireWithinLimit(answer.rows), answer.requestedHashes)
    }

    /** Merges rows that [from] pushed, and forwards new urgent rows of other data centres to the peers of this data centre. */
    fun onPush(from: InstanceId, push: RowPush) {
        val newRows = merge(push.rows, monotonicMs())
        if (!push.isUrgent || newRows.isEmpty()) return
        val isFromOtherDataCentre = members().any { it.id == from && it.dataCentre != self.dataCentre }
        if (!isFromOtherDataCentre) return
        val forwarded = RowPush(newRows.map { it.toWire(monotonicMs()) }, isUrgent = true)
        localPeers().forEach { transport.send(it.id, forwarded) }
    }

    private fun exchangeWith(to: InstanceId, reach: RowReach) {
        val digest = table.digest(reach)
        val sentAtMs = monotonicMs()
        transport.ask(to, Exchange(reach, digest.keyHashes, digest.versions), EXCHANGE_TIMEOUT_MS).thenAccept { answer ->
            val message = answer.get() as? ExchangeAnswer ?: return@thenAccept
            control.post {
                // Ages count from the time of the request, so that the round trip makes a row appear older, never younger.
                merge(message.rows, sentAtMs)
                val missingRows = toWireWithinLimit(table.ofHashes(message.wanted))
                if (missingRows.isNotEmpty()) transport.send(to, RowPush(missingRows, isUrgent = false))
            }
        }
    }

    private fun merge(rows: List<WireRow>, sinceMs: Long): List<VersionedRow> {
        val newRows = rows.mapNotNull { it.toRow(sinceMs) }.filter { it.key.owner != self.id && table.merge(it, monotonicMs()) }
        newRows.forEach { row -> listeners[row.key.topic]?.forEach { it(row) } }
        return newRows
    }

    // Rows that do not fit are sent in the next exchange.
    private fun toWireWithinLimit(rows: List<VersionedRow>): List<WireRow> {
        val nowMs = monotonicMs()
        var bytes = 0
        return rows.takeWhile { row ->
            bytes += row.body.size + ROW_OVERHEAD_BYTES
            bytes <= MAX_ROWS_BYTES
        }.map { it.toWire(nowMs) }
    }

    private fun publishRow(topic: RowTopic, name: String, body: ByteArray): VersionedRow {
        val row = VersionedRow(RowKey(topic, self.id, name), rowVersion(incarnation, nextVersion++), monotonicMs(), body)
        table.merge(row, monotonicMs())
        return row
    }

    private fun localPeers() = members().filter { it.dataCentre == self.dataCentre && it.id != self.id }

    // Until an instance of a data centre has been heard from, any of its listed instances may be its delegate.
    private fun remoteDelegates(): Map<String, List<InstanceId>> {
        val all = members()
        return all.filter { it.dataCentre != self.dataCentre }.groupBy { it.dataCentre }.mapValues { (dataCentre, membersThere) ->
            delegatesOf(dataCentre, membersThere).ifEmpty { membersThere.map { it.id } }
        }
    }

    private companion object {
        const val FANOUT = 3
        const val EXCHANGE_TIMEOUT_MS = 1_000L
        const val MAX_ROWS_BYTES = 512 * 1024
        const val ROW_OVERHEAD_BYTES = 64
    }
}
