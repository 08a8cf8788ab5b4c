package org.godwitwick.core.membership

import kotlinx.serialization.Serializable
import org.godwitwick.core.model.InstanceId

/** How far rows of a topic travel. */
enum class RowReach { DATA_CENTRE, FLEET }

/**
 * The closed list of what instances tell each other in versioned rows.
 *
 * @property reach how far rows of the topic travel.
 * @property maxAgeMs age at which a row that its owner didn't publish again is dropped.
 */
enum class RowTopic(val reach: RowReach, val maxAgeMs: Long) {
    /** Heartbeat of an instance. */
    MEMBER(RowReach.DATA_CENTRE, 30_000),

    /** Summary of a data centre by one of its delegates. */
    DATA_CENTRE(RowReach.FLEET, 30_000),

    /** Load, cache index and leaving marks of the replicas that the owner watches. */
    REPLICA_LOAD(RowReach.DATA_CENTRE, 10_000),

    /** Per-model summary of a data centre's replicas. */
    MODEL_SUMMARY(RowReach.FLEET, 10_000),

    /** Demand of organisations at the owner. */
    DEMAND(RowReach.DATA_CENTRE, 5_000),

    /** Demand of organisations summed over a data centre. */
    DEMAND_SUMMARY(RowReach.FLEET, 10_000),

    /** Requests suspected to crash engines. */
    SUSPICION(RowReach.FLEET, 600_000),
}

/** Identity of a row; only [owner] publishes new versions of it. */
@Serializable
data class RowKey(val topic: RowTopic, val owner: InstanceId, val name: String) {
    /** A 64-bit FNV-1a hash, which stands for the key in digests. */
    val hash: Long by lazy(LazyThreadSafetyMode.PUBLICATION) { stableHash("${topic.name}/${owner.value}/$name") }
}

/**
 * One row as an instance holds it.
 *
 * @property version grows with every publication, also over restarts of the owner; see [rowVersion].
 * @property madeAtMs time of the publication on the holder's monotonic scale, computed from ages and never from another clock.
 */
class VersionedRow(val key: RowKey, val version: Long, val madeAtMs: Long, val body: ByteArray) {
    /** Age at [nowMs] in milliseconds. */
    fun ageMs(nowMs: Long): Long = (nowMs - madeAtMs).coerceAtLeast(0)

    /** Incarnation of the owner that published this version. */
    val incarnation: Long get() = version shr VERSION_COUNTER_BITS
}

/** Version of the [counter]th row that incarnation [incarnation] publishes; later incarnations always win. */
fun rowVersion(incarnation: Long, counter: Long): Long = (incarnation shl VERSION_COUNTER_BITS) + counter

private const val VERSION_COUNTER_BITS = 20
