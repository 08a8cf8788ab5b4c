package org.godwitwick.node.control

import org.godwitwick.core.admission.Demand
import org.godwitwick.core.admission.DemandTable
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.OrganisationId

/**
 * Rows with each instance's demand by organisation. [ownDemand] returns this instance's last measured demand, or null before the
 * first measurement.
 */
class DemandRows(private val table: DemandTable, private val ownDemand: () -> Demand?) : PeerRows {
    override val kind: String get() = "demand"

    override fun encode(nowMs: Long): ByteArray {
        val demand = ownDemand() ?: Demand(nowMs, table.countedInstances(nowMs), emptyMap())
        val entries = demand.workPerSecond.entries.toList()
        return RowCodec.encode(
            DemandRow.serializer(),
            DemandRow(
                demand.atMs,
                demand.countedInstances,
                demand.totalPerSecond.toLong(),
                demand.longReads,
                demand.dataCentre,
                entries.map { it.key.value },
                entries.map { it.value.toLong() },
            ),
        )
    }

    override fun accept(from: InstanceId, row: ByteArray, nowMs: Long) {
        val decoded = RowCodec.decode(DemandRow.serializer(), row) ?: return
        val work = decoded.organisations.zip(decoded.workPerSecond).associate { (id, perSecond) ->
            OrganisationId(id) to
                perSecond.toDouble()
        }
        val total = decoded.totalPerSecond.toDouble()
        table.onRow(
            from,
            Demand(decoded.atMs, decoded.countedInstances, work, total, decoded.longReads, decoded.dataCentre),
            nowMs,
        )
    }
}
