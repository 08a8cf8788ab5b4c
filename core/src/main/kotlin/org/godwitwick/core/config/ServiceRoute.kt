package org.godwitwick.core.config

import kotlinx.serialization.Serializable

/**
 * A route of a plain service.
 *
 * @property method HTTP method.
 * @property pathPrefix prefix of the path behind the service's name, with a leading slash.
 * @property idempotent whether a call may be repeated without harm. A route that is not declared is refused.
 */
@Serializable
data class ServiceRoute(val method: String, val pathPrefix: String, val idempotent: Boolean)
