package org.godwitwick.core.health

import kotlinx.serialization.Serializable
import org.godwitwick.core.model.InstanceId

/**
 * The death of one incarnation of an engine. The same death seen by several instances has the same engine and incarnation.
 *
 * @property atMs time at which the reporting instance saw it.
 */
@Serializable
data class EngineDeath(
    val engine: InstanceId,
    val incarnation: String,
    val dataCentre: String,
    val rack: String,
    val atMs: Long,
) {
    /** Whether [other] is the same death. */
    fun isSame(other: EngineDeath): Boolean = engine == other.engine && incarnation == other.incarnation
}
