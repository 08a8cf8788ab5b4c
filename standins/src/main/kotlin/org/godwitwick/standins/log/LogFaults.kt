package org.godwitwick.standins.log

import kotlinx.serialization.Serializable

/**
 * Faults of [FakeLog], and its rate limit and retention.
 *
 * @property outage whether every call is answered with status 503.
 * @property refuseAppends whether every append is answered with status 409 and has no effect.
 * @property slowMs delay of every call, in milliseconds.
 * @property loseAnswers number of further appends that take effect but get no response.
 * @property delayAppends number of further appends that get no response and take effect only at [FakeLog.releaseDelayed].
 * @property appendsPerSecond number of appends to all streams accepted in one second by the log's clock; further ones are
 * answered with status 429. Null for no limit.
 * @property retentionMs age at which records are dropped, in milliseconds, or null to drop none by age.
 * @property retentionRecords number of records that each stream retains, or null for all.
 */
@Serializable
data class LogFaults(
    val outage: Boolean = false,
    val refuseAppends: Boolean = false,
    val slowMs: Long = 0,
    val loseAnswers: Int = 0,
    val delayAppends: Int = 0,
    val appendsPerSecond: Int? = null,
    val retentionMs: Long? = null,
    val retentionRecords: Int? = null,
)
