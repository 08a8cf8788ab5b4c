package org.godwitwick.core.forward

import org.godwitwick.core.model.InstanceId

/**
 * Registration of an upstream.
 *
 * @property address `ip:port`; may be reused by another upstream after this one has ended.
 * @property slots maximum number of concurrent requests.
 * @property isLeaving whether the upstream is shutting down and must not receive new work.
 * @property startedAtMs start time of the process as Unix time in milliseconds, or null if unknown; a new value under the same
 *   [id] means a new process.
 * @property sequence number that grows with each renewal of the registration by the same process, or null if unknown.
 * @property coldRemainingMs time for which the upstream stays cold from the writing of the registration on, in milliseconds, or null if
 *   it states none.
 */
data class UpstreamEntry(
    val id: InstanceId,
    val service: String,
    val address: String,
    val dataCentre: String,
    val slots: Int,
    val isLeaving: Boolean,
    val startedAtMs: Long?,
    val sequence: Long? = null,
    val coldRemainingMs: Long? = null,
) {
    /** Identifies the process of the upstream: one that starts again under the same [id] has another key. */
    val processKey: String get() = "${id.value}$PROCESS_SEPARATOR${startedAtMs ?: 0}"

    internal companion object {
        const val PROCESS_SEPARATOR = '/'
    }
}
