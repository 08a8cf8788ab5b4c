package org.godwitwick.core.health

import kotlinx.serialization.Serializable
import org.godwitwick.core.model.InstanceId

/**
 * What one instance knows about one suspected request; spread to peers. Of two rows with the same reporter and fingerprint the
 * higher version is valid.
 *
 * @property reporter instance that owns the row.
 * @property deaths engine deaths that the request was in flight for at the reporter.
 * @property aloneOn engines and incarnations of [deaths] that ran nothing else as far as the reporter knew.
 * @property runsOn engine on which the reporter runs the request now, or null.
 * @property clearedAtMs time of the last success, -1 for none; deaths up to then don't count.
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
