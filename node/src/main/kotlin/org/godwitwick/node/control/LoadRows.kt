package org.godwitwick.node.control

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.PromptClass
import org.godwitwick.core.placement.LoadReport

/**
 * Load reports of the replicas that one instance watches. The lists are parallel: index i of each belongs to the same replica.
 * [queues] has one value per replica and prompt class, and [leaving] lists the indices of the leaving replicas. [agesTenMs] holds
 * the ages of the reports at [atMs], in units of 10 ms. A replica is identified by the hash of its id: the full id is on the
 * instance list already and would make up half of the row.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
class LoadRow(
    val atMs: Long,
    val replicas: List<Int>,
    val incarnations: List<Int>,
    val agesTenMs: List<Int>,
    val queues: List<Int>,
    val freeKiloTokens: List<Int>,
    val heldKiloTokens: List<Int>,
    val capacityKiloTokens: List<Int>,
    val hectoTokensPerSecond: List<Int>,
    val leaving: List<Int>,
)

/**
 * Rows with the load reports of the replicas that each instance watches. [watched] returns the last reports read by this
 * instance.
 */
class LoadRows(private val directory: ReplicaDirectory, private val watched: () -> Map<InstanceId, LoadReport>) : PeerRows {
    override val kind: String get() = "load"

    override fun encode(nowMs: Long): ByteArray {
        val entries = watched().entries.toList()
        val reports = entries.map { it.value }
        val row = LoadRow(
            atMs = nowMs,
            replicas = entries.map { it.key.value.hashCode() },
            incarnations = reports.map { shortIncarnation(it.incarnation).drop(1).toInt() },
            agesTenMs = reports.map { ((nowMs - it.atMs) / AGE_UNIT_MS).toInt() },
            queues = reports.flatMap { report ->
                PromptClass.entries.map { roundUp(report.queuedPrefillTokens.getOrElse(it.ordinal) { 0 }, QUEUE_UNIT_TOKENS) }
            },
            freeKiloTokens = reports.map { (it.freeKvTokens / KILO).toInt() },
            heldKiloTokens = reports.map { roundUp(it.heldTokens, KILO) },
            capacityKiloTokens = reports.map { it.kvCapacityTokens / KILO.toInt() },
            hectoTokensPerSecond = reports.map { (it.prefillTokensPerSecond / HECTO).toInt() },
            leaving = reports.indices.filter { reports[it].isLeaving },
        )
        return RowCodec.encode(LoadRow.serializer(), row)
    }

    override fun accept(from: InstanceId, row: ByteArray, nowMs: Long) {
        val decoded = RowCodec.decode(LoadRow.serializer(), row) ?: return
        decoded.replicas.indices.forEach { i ->
            val id = directory.idOf(decoded.replicas[i]) ?: return@forEach
            reportAt(decoded, i)?.let { directory.onReport(id, it, nowMs) }
        }
    }

    private fun reportAt(row: LoadRow, i: Int): LoadReport? {
        val classes = PromptClass.entries.size
        if (row.queues.size < (i + 1) * classes) return null
        return LoadReport(
            incarnation = "#${row.incarnations.getOrNull(i) ?: return null}",
            atMs = row.atMs - (row.agesTenMs.getOrNull(i) ?: return null) * AGE_UNIT_MS,
            queuedPrefillTokens = List(classes) { row.queues[i * classes + it] * QUEUE_UNIT_TOKENS },
            freeKvTokens = (row.freeKiloTokens.getOrNull(i) ?: return null) * KILO,
            kvCapacityTokens = (row.capacityKiloTokens.getOrNull(i) ?: return null) * KILO.toInt(),
            prefillTokensPerSecond = (row.hectoTokensPerSecond.getOrNull(i) ?: return null) * HECTO,
            isLeaving = i in row.leaving,
            heldTokens = (row.heldKiloTokens.getOrNull(i) ?: return null) * KILO,
        )
    }

    private fun roundUp(tokens: Long, unit: Long): Int = ((tokens + unit - 1) / unit).toInt()

    companion object {
        private const val AGE_UNIT_MS = 10L

        /** An eighth of an engine step; a finer unit would not change a decision. */
        private const val QUEUE_UNIT_TOKENS = 64L
        private const val KILO = 1_000L
        private const val HECTO = 100.0

        /**
         * Short form of [incarnation] that rows carry. Reports that an instance reads itself get the short form too; otherwise a
         * change of the watching instance would look like a restart of the engine.
         */
        fun shortIncarnation(incarnation: String): String =
            if (incarnation.startsWith("#")) incarnation else "#${incarnation.hashCode().toShort()}"
    }
}
