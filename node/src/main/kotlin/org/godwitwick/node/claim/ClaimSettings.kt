package org.godwitwick.node.claim

import org.godwitwick.core.claim.ClaimShards

/**
 * Limits of the claim path of one instance.
 *
 * @property claimTimeoutMs time in which a claim is decided.
 * @property ownerTimeoutMs part of that time that the owner of the shard gets before the claimant appends by itself.
 * @property appendTimeoutMs bound of one append.
 * @property retryDelayMs wait after a failed log call.
 * @property appendsPerSecond appends per second of one shard under load. All shards of a service together stay at 200 appends/s, under
 * the several hundred of the log.
 * @property appendBurst appends that a shard may make without delay after a quiet time.
 * @property batchMaxBytes estimated size at which a batch is full.
 * @property dispatchWindowMs age at which a grant may no longer be used.
 * @property queueMax entries that one shard keeps while the log is down.
 * @property idleShardMs time without use after which the index of a shard that is owned elsewhere is dropped.
 * @property keepAliveCheckMs period of the check for owned shards that need a marker record.
 */
data class ClaimSettings(
    val shards: ClaimShards = ClaimShards(),
    val claimTimeoutMs: Long = 3_000,
    val ownerTimeoutMs: Long = 1_500,
    val appendTimeoutMs: Long = 1_000,
    val retryDelayMs: Long = 200,
    val appendsPerSecond: Double = 6.25,
    val appendBurst: Int = 4,
    val batchMaxBytes: Int = 256 * 1024,
    val dispatchWindowMs: Long = 5_000,
    val queueMax: Int = 10_000,
    val idleShardMs: Long = 60_000,
    val keepAliveCheckMs: Long = 10_000,
)
