package org.godwitwick.core.health

import kotlinx.serialization.Serializable
import org.godwitwick.core.model.InstanceId

/**
 * The death of one incarnation of an engine. Several instances may report the same death; it is identified by [engine] and
 * [incarnation].
 *
 * @property atMs time at which the reporting instance detected it.
 */
@Serializable
data class EngineDeath(
    val engine: InstanceId,
    val incarnation: String,
    val dataCentre: String,
    val rack: String,
    val atMs: Long,
) {
    /** Returns whether [other] is a report of the same death. */
    fun isSame(other: EngineDeath): Boolean = engine == other.engine && incarnation == other.incarnation
}
