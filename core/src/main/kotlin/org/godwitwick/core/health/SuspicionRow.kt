package org.godwitwick.core.health

import kotlinx.serialization.Serializable
import org.godwitwick.core.model.InstanceId

/**
 * Engine deaths recorded by one instance for one suspected request; replicated to peers. Of two rows with the same reporter and
 * fingerprint, the one with the higher version is valid.
 *
 * @property reporter instance that owns the row.
 * @property deaths engine deaths during which the reporter had the request in flight on the engine.
 * @property aloneOn engines of [deaths], as `engine/incarnation`, that ran no other request as far as the reporter knew.
 * @property runsOn engine on which the reporter currently runs the request, or null.
 * @property clearedAtMs time of the last success, or -1 if there was none; deaths up to this time are ignored.
 */
@Serializable
data class SuspicionRow(
    val reporter: InstanceId,
    val fingerprint: Fingerprint,
    val version: Long,
    val deaths: List<EngineDeath> = emptyList(),
    val aloneOn: List<String> = emptyList(),
    val runsOn: InstanceId? = null,
    val clearedAtMs: Long = -1,
)
