package org.godwitwick.core.membership

import kotlinx.serialization.Serializable
import org.godwitwick.core.model.InstanceId

/** How widely the rows of a topic are distributed. */
enum class RowReach { DATA_CENTRE, FLEET }

/**
 * Every kind of information that instances exchange as versioned rows.
 *
 * @property reach how widely rows of the topic are distributed.
 * @property maxAgeMs age in milliseconds above which a row that its owner has not republished is removed.
 */
enum class RowTopic(val reach: RowReach, val maxAgeMs: Long) {
    /** Heartbeat of an instance. */
    MEMBER(RowReach.DATA_CENTRE, 30_000),

    /** Summary of a data centre by one of its delegates. */
    DATA_CENTRE(RowReach.FLEET, 30_000),

    /** Load, cache index and leaving state of the replicas that the owner watches. */
    REPLICA_LOAD(RowReach.DATA_CENTRE, 10_000),

    /** Per-model summary of a data centre's replicas. */
    MODEL_SUMMARY(RowReach.FLEET, 10_000),

    /** Demand of each organisation at the owner. */
    DEMAND(RowReach.DATA_CENTRE, 5_000),

    /** Demand of each organisation, summed over a data centre. */
    DEMAND_SUMMARY(RowReach.FLEET, 10_000),

    /** Requests suspected of crashing engines. */
    SUSPICION(RowReach.FLEET, 600_000),
}

/** Identity of a row. Only [owner] publishes new versions of it. */
@Serializable
data class RowKey(val topic: RowTopic, val owner: InstanceId, val name: String) {
    /** A 64-bit FNV-1a hash that represents the key in digests. */
    val hash: Long by lazy(LazyThreadSafetyMode.PUBLICATION) { stableHash("${topic.name}/${owner.value}/$name") }
}

/**
 * A row as stored by an instance.
 *
 * @property version increases with every publication, also across restarts of the owner; see [rowVersion].
 * @property publishedAtMs time of publication on the monotonic clock of the storing instance; derived from ages, because clocks
 * of different instances are never compared.
 */
class VersionedRow(val key: RowKey, val version: Long, val publishedAtMs: Long, val body: ByteArray) {
    /** Age at [nowMs] in milliseconds. */
    fun ageMs(nowMs: Long): Long = (nowMs - publishedAtMs).coerceAtLeast(0)

    /** Incarnation of the owner that published this version. */
    val incarnation: Long get() = version shr VERSION_COUNTER_BITS
}

/** Version of publication number [counter] of [incarnation]; a version of a later incarnation is always higher. */
fun rowVersion(incarnation: Long, counter: Long): Long = (incarnation shl VERSION_COUNTER_BITS) + counter

private const val VERSION_COUNTER_BITS = 20
