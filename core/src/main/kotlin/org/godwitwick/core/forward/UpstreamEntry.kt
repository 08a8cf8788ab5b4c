package org.godwitwick.core.forward

import org.godwitwick.core.model.InstanceId

/**
 * An upstream as it registered itself.
 *
 * @property address `ip:port`; another upstream may get it after this one has ended.
 * @property bornMs Unix time of the start in milliseconds, or null; a new value under the same id is a new process.
 */
data class UpstreamEntry(
    val id: InstanceId,
    val service: String,
    val address: String,
    val dataCentre: String,
    val slots: Int,
    val isLeaving: Boolean,
    val bornMs: Long?,
)
