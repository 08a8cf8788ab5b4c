package org.godwitwick.node.control

import kotlinx.serialization.builtins.MapSerializer
import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.placement.LoadReport

/** Rows about the replicas that each instance watches. [watched] are the last reports that this instance read itself. */
class LoadRows(private val directory: ReplicaDirectory, private val watched: () -> Map<InstanceId, LoadReport>) : PeerRows {
    private val serializer = MapSerializer(InstanceId.serializer(), LoadReport.serializer())

    override val kind: String get() = "load"

    override fun encode(nowMs: Long): ByteArray = RowCodec.encode(serializer, watched())

    override fun accept(from: InstanceId, row: ByteArray, nowMs: Long) {
        RowCodec.decode(serializer, row)?.forEach { (id, report) -> directory.onReport(id, report, nowMs) }
    }
}
