package org.godwitwick.core.forward

import org.godwitwick.core.model.OrganisationId

/**
 * An organisation and the valid keys of its callers.
 *
 * @property priority stated priority, which precedes that of the route, or null if none is stated.
 * @property allowedRegions regions in which its requests may be handled, or null for all.
 */
data class OrganisationKeys(
    val organisation: OrganisationId,
    val keys: List<String>,
    val priority: Int? = null,
    val allowedRegions: Set<String>? = null,
)

/**
 * A service to which routes forward requests.
 *
 * @property engine null for a plain service.
 * @property cold what its cold upstreams accept, or null if they accept as much as others.
 */
data class ForwardService(val name: String, val engine: EngineProfile?, val cold: ColdStart? = null)

/**
 * Limits on the requests and connections of callers.
 *
 * @property idleTimeoutMs time after which an unused connection is closed, in milliseconds.
 */
data class CallerLimits(val maxHeaderBytes: Int, val maxBodyBytes: Int, val headerTimeoutMs: Long, val idleTimeoutMs: Long)

/**
 * One published version of the routing configuration.
 *
 * @property organisations organisations with their keys, or null if callers need no key.
 * @property limits limits on callers, or null if the configuration sets none.
 */
data class RoutingConfig(
    val version: Long,
    val routes: List<ForwardRoute>,
    val services: List<ForwardService>,
    val organisations: List<OrganisationKeys>?,
    val limits: CallerLimits?,
)
