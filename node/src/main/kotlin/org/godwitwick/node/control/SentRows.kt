package org.godwitwick.node.control

import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.PromptClass
import org.godwitwick.core.placement.SentWork
import java.util.concurrent.ConcurrentLinkedQueue

/**
 * Rows with the work that each instance of the data centre recently sent to replicas, which their load reports may not include
 * yet.
 */
class SentRows(private val directory: ReplicaDirectory) : PeerRows {
    private class Dispatch(val replica: InstanceId, val work: SentWork)

    private val unpublished = ConcurrentLinkedQueue<Dispatch>()
    private val intervals = ArrayDeque<SentInterval>()
    private val appliedUpToMs = HashMap<InstanceId, Long>()
    private var fromMs = 0L

    override val kind: String get() = "sent"

    /** Records a dispatch by this instance. May be called from any thread. */
    fun onDispatch(replica: InstanceId, work: SentWork) {
        unpublished.add(Dispatch(replica, work))
    }

    override fun encode(nowMs: Long): ByteArray {
        val dispatches = generateSequence { unpublished.poll() }.toList()
        val groups = dispatches.groupBy { it.replica to it.work.promptClass }.entries.toList()
        intervals.addLast(
            SentInterval(
                fromMs,
                nowMs,
                groups.map { it.key.first.value },
                groups.map { it.key.second.ordinal },
                groups.map { group -> group.value.sumOf { it.work.prefillTokens } },
                groups.map { group -> group.value.sumOf { it.work.kvTokens } },
                groups.map { it.value.size },
            ),
        )
        fromMs = nowMs
        while (intervals.size > MAX_INTERVALS) intervals.removeFirst()
        return RowCodec.encode(SentRow.serializer(), SentRow(intervals.toList()))
    }

    override fun accept(from: InstanceId, row: ByteArray, nowMs: Long) {
        val decoded = RowCodec.decode(SentRow.serializer(), row) ?: return
        for (interval in decoded.intervals) {
            if (interval.toMs <= (appliedUpToMs[from] ?: Long.MIN_VALUE)) continue
            appliedUpToMs[from] = interval.toMs
            interval.replicas.indices.forEach { i -> applyAt(interval, i) }
        }
    }

    // Dates the work at the end of the interval, so that it counts until a report is newer than the whole interval.
    private fun applyAt(interval: SentInterval, i: Int) {
        val promptClass = PromptClass.entries.getOrNull(interval.classes.getOrNull(i) ?: return) ?: return
        val tokens = interval.prefillTokens.getOrNull(i) ?: return
        val work =
            SentWork(
                interval.toMs,
                promptClass,
                tokens,
                interval.kvTokens.getOrElse(i) {
                    0
                },
                interval.requests.getOrElse(i) { 1 },
            )
        directory.onSentByPeer(InstanceId(interval.replicas[i]), work)
    }

    private companion object {
        /** 2 s of intervals of 500 ms: a lost row is covered by the next ones, and older work is included in a load report. */
        const val MAX_INTERVALS = 4
    }
}
