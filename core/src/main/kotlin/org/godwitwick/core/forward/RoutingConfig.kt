package org.godwitwick.core.forward

import org.godwitwick.core.model.OrganisationId

/** An organisation and the keys that its callers present. */
data class OrganisationKeys(val organisation: OrganisationId, val keys: List<String>)

/** A service behind the routes; [engine] is null for a plain service. */
data class ForwardService(val name: String, val engine: EngineProfile?)

/**
 * Limits on what a caller may send.
 *
 * @property idleTimeoutMs time for which a caller may leave a connection unused.
 */
data class CallerLimits(val maxHeaderBytes: Int, val maxBodyBytes: Int, val headerTimeoutMs: Long, val idleTimeoutMs: Long)

/**
 * One published version of the routing configuration.
 *
 * @property organisations null when callers need no key.
 */
data class RoutingConfig(
    val version: Long,
    val routes: List<ForwardRoute>,
    val services: List<ForwardService>,
    val organisations: List<OrganisationKeys>?,
    val limits: CallerLimits?,
)
