package org.godwitwick.node.claim

import org.godwitwick.core.claim.ClaimShards

/**
 * Limits of the claim path of one instance.
 *
 * @property shards assignment of keys to shards and of shards to owners.
 * @property claimTimeoutMs maximum time to decide a claim.
 * @property ownerTimeoutMs timeout of a request to the owner of a shard, after which the claimant appends to the log directly.
 * @property appendTimeoutMs timeout of one append.
 * @property retryDelayMs delay before a retry after a failed log call.
 * @property appendsPerSecond sustained appends per second of one shard. All shards of a service together make at most
 * 200 appends/s, which is below the several hundred that the log accepts.
 * @property appendBurst appends that a shard may make without delay after an idle period.
 * @property batchMaxBytes maximum estimated size of a batch of several entries.
 * @property dispatchWindowMs time after the start of a call beyond which its grant may no longer be used.
 * @property queueMax maximum number of entries that are queued for one shard.
 * @property idleShardMs idle time after which the index of a shard that another instance owns is dropped.
 * @property keepAliveCheckMs interval of the check for owned shards that need a marker record.
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
