package org.godwitwick.core.config

import kotlinx.serialization.Serializable

/**
 * A declared route of a plain service. Calls to undeclared routes are refused.
 *
 * @property method HTTP method.
 * @property pathPrefix prefix of the path after the name of the service, with a leading slash.
 * @property idempotent whether a call may be repeated safely.
 */
@Serializable
data class ServiceRoute(val method: String, val pathPrefix: String, val idempotent: Boolean)
