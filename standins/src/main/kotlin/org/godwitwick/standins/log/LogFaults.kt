package org.godwitwick.standins.log

import kotlinx.serialization.Serializable

/**
 * Faults of [FakeLog].
 *
 * @property outage answer every call with status 503.
 * @property refuseAppends answer every append with status 409, without effect.
 * @property slowMs delay of every call.
 * @property loseAnswers number of further appends that take effect without an answer.
 * @property delayAppends number of further appends that get no answer and take effect only at [FakeLog.releaseDelayed].
 * @property appendsPerSecond appends of all streams in one second of log time before status 429, or null for no limit.
 * @property retentionMs age at which records are dropped, or null for none.
 * @property retentionRecords records that a stream keeps, or null for all.
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
